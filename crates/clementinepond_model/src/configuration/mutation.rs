//! Guards that can be removed.

use crate::explore::MutationEntry;

/// Removed guard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConfigurationMutation {
    None,
    AcceptOlder,
    SkipBaseCheck,
    ApplyFirstHeard,
}

/// Mutations by name.
pub(super) const ENTRIES: &[MutationEntry] = &[
    MutationEntry {
        name: "accept_older",
        about: "takes in a version that is older than the one held",
    },
    MutationEntry {
        name: "skip_base_check",
        about: "applies a difference to another version than the one it was made from",
    },
    MutationEntry {
        name: "apply_first_heard",
        about: "puts the first version heard after a restart in force at once",
    },
];

impl ConfigurationMutation {
    pub(super) fn named(name: Option<&str>) -> Self {
        match name {
            Some("accept_older") => Self::AcceptOlder,
            Some("skip_base_check") => Self::SkipBaseCheck,
            Some("apply_first_heard") => Self::ApplyFirstHeard,
            _ => Self::None,
        }
    }
}
