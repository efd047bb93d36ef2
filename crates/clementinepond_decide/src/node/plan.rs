//! Routes placement events, and reports demand to the holder of the placement
//! lease.

use super::NodeEffect;
use super::node_reducer::NodeReducer;
use crate::plan::{self, EndpointSpec, PlanEvent};
use crate::route::ReplicaState;
use clementinepond_types::{DataCentreId, EndpointId, ModelId, VmId};
use std::collections::{BTreeMap, BTreeSet};

impl NodeReducer<'_> {
    pub(super) fn reduce_plan(&mut self, event: PlanEvent) {
        let effects = plan::reduce(&mut self.state.plan, event, self.now);
        let effects = effects.into_iter().map(NodeEffect::Plan);
        self.effects.extend(effects);
    }

    /// Notifies placement of the engines that are configured in the data centre, and of
    /// those that no longer are.
    pub(super) fn update_engines(&mut self, engines: BTreeMap<EndpointId, EndpointSpec>) {
        let listed: BTreeSet<EndpointId> = engines.keys().cloned().collect();
        let removed: Vec<EndpointId> = self
            .state
            .listed_engines
            .difference(&listed)
            .cloned()
            .collect();
        for endpoint in removed {
            self.reduce_plan(PlanEvent::EndpointGone { endpoint });
        }
        for (endpoint, spec) in engines {
            self.reduce_plan(PlanEvent::EndpointListed { endpoint, spec });
        }
        self.state.listed_engines = listed;
    }

    /// Sends the demand counted at this VM to the lease holder. At the lease holder, also
    /// passes the total demand to placement.
    pub(super) fn report_demand(&mut self) {
        let Some(report) = self.state.demand.close_window(self.now) else {
            return;
        };
        if let Some(holder) = self.lease_holder() {
            self.send(holder, report);
        }
        self.report_remote_models();
        if !self.state.plan.holds(self.now) {
            return;
        }
        let totals = self.state.demand.totals(self.now);
        for (model, load) in totals {
            self.reduce_plan(PlanEvent::DemandObserved { model, load });
        }
    }

    fn lease_holder(&self) -> Option<VmId> {
        self.state.plan.holder().cloned()
    }

    /// Notifies placement of the models that are ready in other data centres, by fresh reports.
    fn report_remote_models(&mut self) {
        let mut ready: BTreeMap<DataCentreId, BTreeSet<ModelId>> = BTreeMap::new();
        let own = &self.state.data_centre;
        for state in self.state.routes.endpoints.values() {
            if state.profile.data_centre == *own || !self.state.routes.is_fresh(state, self.now) {
                continue;
            }
            let models = ready.entry(state.profile.data_centre.clone()).or_default();
            let replicas = state.report.iter().flat_map(|report| &report.models);
            let replicas = replicas.filter(|(_, replica)| replica.state == ReplicaState::Ready);
            models.extend(replicas.map(|(model, _)| model.clone()));
        }
        self.reduce_plan(PlanEvent::PeersObserved { ready });
    }
}
