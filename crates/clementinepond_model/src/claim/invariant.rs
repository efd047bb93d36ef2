//! Invariants of the claim specification.

use super::state::ClaimState;

/// Returns the invariant that a state violates, if any.
pub(super) fn violated_invariant(state: &ClaimState) -> Option<&'static str> {
    let runs: u8 = state.calls.iter().map(|call| call.runs).sum();
    if runs > 1 {
        return Some("the request ran twice");
    }
    if state.calls.iter().any(|call| call.closed && call.runs > 0) {
        return Some("a call ran although its caller was told that nothing ran");
    }
    None
}
