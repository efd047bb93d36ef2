//! Invariants of the placement specification.

use super::state::{MEMORY_CAPACITY, PlanState};

/// Returns the invariant that a state violates, if any.
pub(super) fn violated_invariant(state: &PlanState) -> Option<&'static str> {
    if state.endpoint.loaded.len() > MEMORY_CAPACITY {
        return Some("the endpoint's memory is overcommitted");
    }
    if state.endpoint.stale_applied {
        return Some("an order took effect after one of a newer holder");
    }
    None
}
