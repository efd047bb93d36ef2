//! Entry point of the node reducer.

use super::node_reducer::NodeReducer;
use super::{EndpointObservation, FleetView, NodeEffect, NodeEvent, NodeState, PeerMessage};
use crate::claim::ClaimEvent;
use crate::configuration::ConfigurationEvent;
use crate::crash::{CrashEvent, EndpointIncarnation};
use crate::limit::LimitEvent;
use crate::plan::PlanEvent;
use crate::request::RequestEvent;
use crate::roster::RosterEvent;
use crate::route::{EndpointReport, ModelReplica, PrefixHash, ReplicaState};
use clementinepond_types::{EndpointId, LocalTime, PartCount, TimeSpan, VmId};
use std::collections::VecDeque;

/// Interval between ticks of the roster, configuration, crash guard and placement,
/// which need fewer ticks than requests, limits and claims.
const SLOW_TICK_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// Applies one event and returns the effects for the I/O layer.
pub fn reduce(state: &mut NodeState, event: NodeEvent, now: LocalTime) -> Vec<NodeEffect> {
    let mut reducer = NodeReducer {
        state,
        now,
        pending: VecDeque::new(),
        effects: Vec::new(),
    };
    reducer.expire_parts();
    reducer.pending.push_back(event);
    while let Some(event) = reducer.pending.pop_front() {
        reducer.handle_event(event);
    }
    reducer.effects
}

impl NodeReducer<'_> {
    fn handle_event(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Request(event) => self.reduce_request(event),
            NodeEvent::Received { from, message } => self.receive(from, *message),
            NodeEvent::Roster(event) => self.reduce_roster(event),
            NodeEvent::Configuration(event) => self.reduce_configuration(event),
            NodeEvent::Claim(event) => self.reduce_claim(event),
            NodeEvent::Crash(event) => self.reduce_crash(event),
            NodeEvent::Plan(event) => self.reduce_plan(event),
            NodeEvent::FleetChanged(view) => self.apply_fleet_view(*view),
            NodeEvent::EndpointReported {
                endpoint,
                observation,
            } => self.apply_report(&endpoint, *observation),
            NodeEvent::CacheChanged {
                endpoint,
                sequence,
                prefix,
                stored,
            } => self.apply_cache_event(&endpoint, sequence, prefix, stored),
            NodeEvent::Tick { seed } => self.tick(seed),
            NodeEvent::ShutdownStarted => self.shut_down(),
        }
    }

    fn receive(&mut self, from: VmId, message: PeerMessage) {
        match message {
            PeerMessage::Roster(message) => {
                self.reduce_roster(RosterEvent::Received { from, message });
            }
            PeerMessage::Configuration(message) => {
                self.reduce_configuration(ConfigurationEvent::Received { from, message });
            }
            PeerMessage::Limit(message) => {
                self.reduce_limit(LimitEvent::Received { from, message })
            }
            PeerMessage::Claim(message) => {
                self.reduce_claim(ClaimEvent::Received { from, message })
            }
            PeerMessage::Crash(message) => {
                self.reduce_crash(CrashEvent::Received { from, message })
            }
            PeerMessage::Demand(report) => self.state.demand.record_report(from, report, self.now),
        }
    }

    fn apply_fleet_view(&mut self, view: FleetView) {
        self.state.routes.configure(view.endpoints);
        self.state.demand.configure(view.capacities);
        self.reduce_claim(ClaimEvent::DataCentresChanged(view.data_centres));
        self.reduce_limit(LimitEvent::AccountsChanged(view.accounts));
        self.state.expects_share = view.share > PartCount::new(0);
        self.reduce_roster(RosterEvent::ShareTarget(view.share));
        self.update_engines(view.engines);
        self.reduce_plan(PlanEvent::CatalogueChanged {
            catalogue: Box::new(view.catalogue),
        });
    }

    fn apply_report(&mut self, endpoint: &EndpointId, observation: EndpointObservation) {
        let incarnation = observation.report.incarnation;
        let report = route_report(&observation);
        if !self.state.routes.apply_report(endpoint, report, self.now) {
            return;
        }
        self.state.unreachable.remove(endpoint);
        self.reduce_crash(CrashEvent::EndpointReported {
            endpoint: endpoint.clone(),
            incarnation: EndpointIncarnation::new(incarnation.get()),
            requested_at: observation.requested_at,
        });
        if self.state.listed_engines.contains(endpoint) {
            self.reduce_plan(PlanEvent::ReportReceived {
                report: observation.report,
            });
        }
    }

    fn apply_cache_event(
        &mut self,
        endpoint: &EndpointId,
        sequence: u64,
        prefix: PrefixHash,
        stored: bool,
    ) {
        let limit = self.state.routes.settings.prefix_limit;
        let Some(state) = self.state.routes.endpoints.get_mut(endpoint) else {
            return;
        };
        state.prefixes.observe_sequence(sequence);
        if stored {
            state.prefixes.insert(prefix, limit);
        } else {
            state.prefixes.remove(prefix);
        }
    }

    fn tick(&mut self, seed: u64) {
        self.reduce_request(RequestEvent::Tick { seed });
        self.reduce_limit(LimitEvent::Tick);
        self.reduce_claim(ClaimEvent::Tick);
        if self.now < self.state.next_slow_tick {
            return;
        }
        self.state.next_slow_tick = self.now + SLOW_TICK_INTERVAL;
        self.confirm_stopped_parts();
        self.reduce_roster(RosterEvent::Tick);
        self.reduce_configuration(ConfigurationEvent::Tick);
        self.report_unreachable_endpoints();
        self.reduce_crash(CrashEvent::Tick);
        self.report_demand();
        self.reduce_plan(PlanEvent::Tick { seed });
    }

    fn shut_down(&mut self) {
        self.reduce_limit(LimitEvent::Release);
        self.reduce_claim(ClaimEvent::Release);
        self.reduce_plan(PlanEvent::Release);
        self.reduce_roster(RosterEvent::ShutdownStarted);
    }
}

fn route_report(observation: &EndpointObservation) -> EndpointReport {
    let report = &observation.report;
    let models = report.models.iter().map(|entry| {
        let replica = ModelReplica {
            version: entry.version.to_string().into(),
            state: ReplicaState::from(entry.state),
            memory_mib: entry.memory_mib,
        };
        (entry.model.clone(), replica)
    });
    let adapters = report.adapters.iter();
    EndpointReport {
        incarnation: report.incarnation.get(),
        report_number: report.report_number.get(),
        running: observation.running,
        queued: observation.queued,
        draining: report.draining,
        fencing_number: report.fencing_number,
        models: models.collect(),
        adapters: adapters
            .map(|entry| (entry.adapter.clone(), entry.model.clone()))
            .collect(),
    }
}
