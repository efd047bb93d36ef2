//! Macro that declares the mutations of a specification.

/// Declares an enum of mutations, the list of their entries and the lookup by name.
macro_rules! mutations {
    ($name:ident { $($variant:ident $label:literal $about:literal),+ $(,)? }) => {
        /// Guard that is removed; `None` keeps all guards.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub(super) enum $name {
            None,
            $($variant),+
        }

        /// Names and descriptions of the mutations.
        pub(super) const ENTRIES: &[crate::explore::MutationEntry] = &[
            $(crate::explore::MutationEntry { name: $label, about: $about }),+
        ];

        impl $name {
            /// Returns the mutation with a name, or `None` without a known name.
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
