//! Invariants of the claim specification.

use super::state::ClaimState;

/// Returns the invariant that a state breaks.
pub(super) fn breach(state: &ClaimState) -> Option<&'static str> {
    let runs: u8 = state.calls.iter().map(|call| call.runs).sum();
    if runs > 1 {
        return Some("the request ran twice");
    }
    if state.calls.iter().any(|call| call.closed && call.runs > 0) {
        return Some("a call that was told that nothing ran has run");
    }
    None
}
