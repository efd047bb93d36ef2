//! Invariants of the placement specification.

use super::state::{MEMORY, PlanState};

/// Returns the invariant that a state breaks.
pub(super) fn breach(state: &PlanState) -> Option<&'static str> {
    if state.endpoint.loaded.len() > MEMORY {
        return Some("the endpoint's memory is overcommitted");
    }
    if state.endpoint.stale_landed {
        return Some("an order landed after one of a newer holder");
    }
    None
}
