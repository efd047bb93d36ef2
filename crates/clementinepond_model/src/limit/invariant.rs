//! Invariant of the limit specification.

use super::state::LimitState;

/// Returns the invariant that a state breaks.
pub(super) fn breach(state: &LimitState) -> Option<&'static str> {
    state
        .overspent
        .then_some("more was spent than the account's rate and burst allow")
}
