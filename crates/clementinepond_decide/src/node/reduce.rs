//! The function from an event to effects.

use super::run::NodeRun;
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

/// Interval between two ticks of the parts that need few.
const SLOW_TICK_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

/// Takes one event and returns what the edges must do.
pub fn reduce(state: &mut NodeState, event: NodeEvent, now: LocalTime) -> Vec<NodeEffect> {
    let mut run = NodeRun {
        state,
        now,
        pending: VecDeque::new(),
        effects: Vec::new(),
    };
    run.expire_parts();
    run.pending.push_back(event);
    while let Some(event) = run.pending.pop_front() {
        run.take(event);
    }
    run.effects
}

impl NodeRun<'_> {
    fn take(&mut self, event: NodeEvent) {
        match event {
            NodeEvent::Request(event) => self.take_request(event),
            NodeEvent::Received { from, message } => self.receive(from, *message),
            NodeEvent::Roster(event) => self.take_roster(event),
            NodeEvent::Configuration(event) => self.take_configuration(event),
            NodeEvent::Claim(event) => self.take_claim(event),
            NodeEvent::Crash(event) => self.take_crash(event),
            NodeEvent::Plan(event) => self.take_plan(event),
            NodeEvent::FleetChanged(view) => self.change_fleet(*view),
            NodeEvent::EndpointReported {
                endpoint,
                observation,
            } => self.take_report(&endpoint, *observation),
            NodeEvent::CacheChanged {
                endpoint,
                sequence,
                prefix,
                stored,
            } => self.take_cache(&endpoint, sequence, prefix, stored),
            NodeEvent::Tick { seed } => self.tick(seed),
            NodeEvent::ShutdownStarted => self.shut_down(),
        }
    }

    fn receive(&mut self, from: VmId, message: PeerMessage) {
        match message {
            PeerMessage::Roster(message) => {
                self.take_roster(RosterEvent::Received { from, message });
            }
            PeerMessage::Configuration(message) => {
                self.take_configuration(ConfigurationEvent::Received { from, message });
            }
            PeerMessage::Limit(message) => self.take_limit(LimitEvent::Received { from, message }),
            PeerMessage::Claim(message) => self.take_claim(ClaimEvent::Received { from, message }),
            PeerMessage::Crash(message) => self.take_crash(CrashEvent::Received { from, message }),
            PeerMessage::Demand(report) => self.state.demand.take(from, report, self.now),
        }
    }

    fn change_fleet(&mut self, view: FleetView) {
        self.state.routes.configure(view.endpoints);
        self.state.demand.configure(view.capacities);
        self.take_claim(ClaimEvent::DataCentresChanged(view.data_centres));
        self.take_limit(LimitEvent::AccountsChanged(view.accounts));
        self.state.expects_share = view.share > PartCount::new(0);
        self.take_roster(RosterEvent::ShareTarget(view.share));
        self.list_engines(view.engines);
        self.take_plan(PlanEvent::CatalogueChanged {
            catalogue: Box::new(view.catalogue),
        });
    }

    fn take_report(&mut self, endpoint: &EndpointId, observation: EndpointObservation) {
        let incarnation = observation.report.incarnation;
        let report = route_report(&observation);
        if !self.state.routes.take_report(endpoint, report, self.now) {
            return;
        }
        self.state.lost.remove(endpoint);
        self.take_crash(CrashEvent::EndpointReported {
            endpoint: endpoint.clone(),
            incarnation: EndpointIncarnation::new(incarnation.get()),
            asked_at: observation.asked_at,
        });
        if self.state.listed.contains(endpoint) {
            self.take_plan(PlanEvent::ReportReceived {
                report: observation.report,
            });
        }
    }

    fn take_cache(
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
        self.take_request(RequestEvent::Tick { seed });
        self.take_limit(LimitEvent::Tick);
        self.take_claim(ClaimEvent::Tick);
        if self.now < self.state.slow_tick {
            return;
        }
        self.state.slow_tick = self.now + SLOW_TICK_INTERVAL;
        self.stop_parts();
        self.take_roster(RosterEvent::Tick);
        self.take_configuration(ConfigurationEvent::Tick);
        self.note_lost_endpoints();
        self.take_crash(CrashEvent::Tick);
        self.report_demand();
        self.take_plan(PlanEvent::Tick { seed });
    }

    fn shut_down(&mut self) {
        self.take_limit(LimitEvent::Release);
        self.take_claim(ClaimEvent::Release);
        self.take_plan(PlanEvent::Release);
        self.take_roster(RosterEvent::ShutdownStarted);
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
