//! States from which explorations start. Each is one that the specification
//! reaches; starting there leaves the way to it out.

use super::lease::take_number;
use super::state::{
    EndpointState, LeasePhase, ModelName, NUMBERS, PlanObject, PlanState, ReportView, SeenObject,
    VmState,
};
use super::step::PlanModel;

/// Nonce of the first acquisition; later ones are smaller.
const FIRST_NONCE: u8 = u8::MAX;

impl PlanModel {
    /// Nothing has happened.
    pub(super) fn fresh(&self) -> PlanState {
        PlanState {
            left: self.bounds,
            version: 0,
            object: PlanObject::default(),
            writes: [].into(),
            answers: [].into(),
            orders: [].into(),
            endpoint: EndpointState::default(),
            vms: [
                VmState::watching(SeenObject::default()),
                VmState::watching(SeenObject::default()),
            ],
        }
    }

    /// The first VM has sent, landed and learnt its acquisition at once.
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
        state.vms[1] = VmState::watching(self.first_sight(&state, 1));
        state
    }

    /// The first VM has loaded a model, seen it in a report and renewed its
    /// lease; the second VM's report was taken before.
    pub(super) fn loaded(&self) -> PlanState {
        let mut state = self.held();
        let view = ReportView {
            loaded: [ModelName::M].into(),
            last_order: NUMBERS + 1,
        };
        state.version = 3;
        state.object.renewal = 3;
        state.endpoint = EndpointState {
            loaded: view.loaded.clone(),
            applied: [view.last_order].into(),
            last_order: view.last_order,
            fencing: 1,
            newest_landed: 1,
            stale_landed: false,
        };
        if let LeasePhase::Held(lease) = &mut state.vms[0].phase {
            lease.version = state.version;
            lease.renewal = state.object.renewal;
            take_number(lease);
            lease.view = Some(view);
        }
        state.vms[1] = VmState::watching(self.first_sight(&state, 1));
        state.vms[1].report = Some(ReportView::default());
        state
    }
}
