//! Invariants of the configuration specification.

use super::state::FleetState;

/// Returns the invariant that a state violates, if any.
pub(super) fn violated_invariant(state: &FleetState) -> Option<&'static str> {
    for vm in &state.vms {
        if vm.in_force.version < vm.highest {
            return Some("a version in force was replaced by an older one");
        }
        if vm.in_force.version > 0 && vm.in_force.version < vm.floor {
            return Some("a restarted VM went back to a version older than that of a live peer");
        }
        if vm.in_force.version > 0 && !vm.in_force.genuine {
            return Some("a text that no operator wrote is in force");
        }
    }
    None
}
