//! Initial states of the explorations.
//!
//! Each is reachable in the specification; starting there skips the steps to it.

use super::lease::assign_number;
use super::state::{
    EndpointState, LeasePhase, ModelName, ORDERS_PER_HOLDER, PlanObject, PlanState, ReportView,
    SeenObject, VmState,
};
use super::step::PlanModel;

/// Nonce of the first acquisition; those of later acquisitions are smaller.
const FIRST_NONCE: u8 = u8::MAX;

impl PlanModel {
    /// Returns the state before the first acquisition.
    pub(super) fn fresh(&self) -> PlanState {
        PlanState {
            remaining: self.bounds,
            version: 0,
            object: PlanObject::default(),
            writes: [].into(),
            answers: [].into(),
            orders: [].into(),
            endpoint: EndpointState::default(),
            vms: [
                VmState::follower(SeenObject::default()),
                VmState::follower(SeenObject::default()),
            ],
        }
    }

    /// Returns the state in which the first VM has acquired the lease, within one tick.
    pub(super) fn held(&self) -> PlanState {
        let mut state = self.fresh();
        state.version = 1;
        state.object = PlanObject {
            holder: Some(0),
            fencing: 1,
            nonce: FIRST_NONCE,
            renewal: 1,
            orders: [].into(),
        };
        let lease = self.acquired(&state.object, 1, self.bounds.lease, 0);
        state.vms[0].phase = LeasePhase::Held(lease);
        state.vms[1] = VmState::follower(self.observe(&state, 1));
        state
    }

    /// Returns the state in which the first VM has loaded a model, seen it in a report and
    /// renewed its lease. A report to the second VM was sent before the load.
    pub(super) fn loaded(&self) -> PlanState {
        let mut state = self.held();
        let view = ReportView {
            loaded: [ModelName::M].into(),
            last_order: ORDERS_PER_HOLDER + 1,
        };
        state.version = 3;
        state.object.renewal = 3;
        state.endpoint = EndpointState {
            loaded: view.loaded.clone(),
            applied: [view.last_order].into(),
            last_order: view.last_order,
            fencing: 1,
            newest_applied: 1,
            stale_applied: false,
        };
        if let LeasePhase::Held(lease) = &mut state.vms[0].phase {
            lease.version = state.version;
            lease.renewal = state.object.renewal;
            assign_number(lease);
            lease.view = Some(view);
        }
        state.vms[1] = VmState::follower(self.observe(&state, 1));
        state.vms[1].report = Some(ReportView::default());
        state
    }
}
