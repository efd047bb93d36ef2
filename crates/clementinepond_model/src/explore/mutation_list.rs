//! Declaration of the guards that a specification can go without.

/// Declares an enum of removed guards, their list and their names.
macro_rules! mutations {
    ($name:ident { $($variant:ident $label:literal $about:literal),+ $(,)? }) => {
        /// Removed guard.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub(super) enum $name {
            None,
            $($variant),+
        }

        /// Mutations by name.
        pub(super) const ENTRIES: &[crate::explore::MutationEntry] = &[
            $(crate::explore::MutationEntry { name: $label, about: $about }),+
        ];

        impl $name {
            /// Returns the mutation of a name.
            pub(super) fn named(name: Option<&str>) -> Self {
                match name {
                    $(Some($label) => Self::$variant,)+
                    _ => Self::None,
                }
            }
        }
    };
}

pub(crate) use mutations;
