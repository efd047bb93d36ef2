//! Invariant of the limit specification.

use super::state::LimitState;

/// Returns the invariant that a state violates, if any.
pub(super) fn violated_invariant(state: &LimitState) -> Option<&'static str> {
    state
        .overspent
        .then_some("the account spent more than its rate and burst allow")
}
