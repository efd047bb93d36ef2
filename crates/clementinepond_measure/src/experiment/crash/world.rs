//! Simulated VMs, endpoints and callers, in virtual time.

use super::scenario::CrashScenario;
use super::tally::CrashTally;
use crate::experiment::claims::queue::EventQueue;
use clementinepond_decide::crash::{
    CrashEffect, CrashEvent, CrashMessage, CrashState, CrashTicket, RequestFingerprint, reduce,
};
use clementinepond_decide::port::{ReadReply, StoreReply};
use clementinepond_types::{AccountId, DataCentreId, EndpointId, Epoch, LocalTime, ModelId, VmId};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Number of VMs in each data centre.
const VMS_PER_CENTRE: [usize; 3] = [3, 3, 2];
/// Number of endpoints, spread over the data centres round-robin.
pub(super) const ENDPOINTS: usize = 12;
/// Number of models; endpoint `n` serves model `n % MODELS`.
pub(super) const MODELS: u64 = 3;
/// Microseconds in one millisecond.
pub(super) const MS: u64 = 1_000;
/// Interval between the ticks of a VM.
const TICK_INTERVAL_US: u64 = 20 * MS;
/// Interval at which a VM requests reports from all endpoints.
const REPORT_INTERVAL_US: u64 = 250 * MS;

/// Scheduled event of the simulation.
#[derive(Debug)]
pub(super) enum WorldEvent {
    Tick(usize),
    Guard { vm: usize, event: CrashEvent },
    Poll { vm: usize },
    InnocentArrives,
    PoisonArrives,
    SendPoison { number: u64, sends: u32 },
    Attempt { request: u64 },
    RunEnds { vm: usize, ticket: u64 },
    PoisonCrash { vm: usize, ticket: u64 },
    OwnCrash(usize),
    EndpointRestarted(usize),
    StreamBroken { vm: usize, ticket: u64 },
    ConnectionsBreak,
    CutStarts,
    CutEnds,
}

/// Simulated endpoint.
#[derive(Debug)]
pub(super) struct SimulatedEndpoint {
    pub(super) name: EndpointId,
    pub(super) centre: usize,
    pub(super) incarnation: u64,
    pub(super) is_up: bool,
}

/// State of an endpoint as last seen by one VM.
#[derive(Debug, Clone)]
pub(super) struct EndpointView {
    pub(super) incarnation: u64,
    pub(super) is_usable: bool,
    pub(super) missing_since: Option<u64>,
    pub(super) is_reported_unreachable: bool,
}

/// Simulated VM with its crash guard state.
#[derive(Debug)]
pub(super) struct SimulatedVm {
    pub(super) name: VmId,
    pub(super) centre: usize,
    pub(super) state: CrashState,
    pub(super) views: Vec<EndpointView>,
}

/// Request at the VM that received it; `poison` is the number of the poison
/// request that it repeats, if any.
#[derive(Debug)]
pub(super) struct SimulatedRequest {
    pub(super) vm: usize,
    pub(super) body: u64,
    pub(super) poison: Option<u64>,
    pub(super) model: u64,
    pub(super) duration: u64,
    pub(super) deadline: u64,
    pub(super) attempts: u32,
    pub(super) is_ended: bool,
}

/// Run of a request; `place` is the index and incarnation of its endpoint once
/// it is dispatched.
#[derive(Debug)]
pub(super) struct SimulatedRun {
    pub(super) request: u64,
    pub(super) requested_at: u64,
    pub(super) has_waited: bool,
    pub(super) place: Option<(usize, u64)>,
}

/// State of one simulation run; times are in microseconds.
pub(super) struct CrashWorld {
    pub(super) scenario: CrashScenario,
    pub(super) random: ChaCha8Rng,
    pub(super) queue: EventQueue<WorldEvent>,
    pub(super) vms: Vec<SimulatedVm>,
    pub(super) endpoints: Vec<SimulatedEndpoint>,
    pub(super) requests: BTreeMap<u64, SimulatedRequest>,
    pub(super) runs: BTreeMap<u64, SimulatedRun>,
    pub(super) next_number: u64,
    pub(super) cut: Option<usize>,
    pub(super) blocked_bodies: BTreeSet<u64>,
    pub(super) innocent_bodies: BTreeMap<RequestFingerprint, u64>,
    pub(super) tally: CrashTally,
}

impl CrashWorld {
    pub(super) fn new(scenario: CrashScenario) -> Self {
        let endpoints: Vec<SimulatedEndpoint> =
            (0..ENDPOINTS).filter_map(simulated_endpoint).collect();
        let view = EndpointView {
            incarnation: 1,
            is_usable: true,
            missing_since: None,
            is_reported_unreachable: false,
        };
        let mut vms = Vec::new();
        for (centre, count) in VMS_PER_CENTRE.into_iter().enumerate() {
            for _ in 0..count {
                if let Ok(name) = format!("vm-{}", vms.len()).parse::<VmId>() {
                    vms.push(SimulatedVm {
                        state: CrashState::new(scenario.settings.clone(), name.clone()),
                        name,
                        centre,
                        views: vec![view.clone(); endpoints.len()],
                    });
                }
            }
        }
        Self {
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            queue: EventQueue::new(),
            vms,
            endpoints,
            requests: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_number: 1,
            cut: None,
            blocked_bodies: BTreeSet::new(),
            innocent_bodies: BTreeMap::new(),
            tally: CrashTally::default(),
            scenario,
        }
    }

    /// Runs the simulation to its end and returns the results.
    pub(super) fn run(mut self) -> CrashTally {
        let end = self.scenario.length.micros();
        self.start();
        while let Some((at, event)) = self.queue.pop() {
            if at > end {
                break;
            }
            self.step(at, event);
        }
        let is_overdue = |request: &&SimulatedRequest| !request.is_ended && request.deadline < end;
        let overdue = self.requests.values().filter(is_overdue).count();
        self.tally.requests_unfinished = overdue as u64;
        self.tally
    }

    fn start(&mut self) {
        for centre in 0..VMS_PER_CENTRE.len() {
            let members = self.vms.iter().filter(|vm| vm.centre == centre);
            let members: Vec<VmId> = members.map(|vm| vm.name.clone()).collect();
            let Ok(data_centre) = format!("dc-{centre}").parse::<DataCentreId>() else {
                continue;
            };
            for vm in 0..self.vms.len() {
                let event = CrashEvent::RosterChanged {
                    data_centre: data_centre.clone(),
                    epoch: Epoch::new(1),
                    members: members.clone(),
                };
                self.queue.push(0, WorldEvent::Guard { vm, event });
            }
        }
        for vm in 0..self.vms.len() {
            self.queue.push(vm as u64 * MS, WorldEvent::Tick(vm));
            self.queue.push(vm as u64 * 7 * MS, WorldEvent::Poll { vm });
        }
        self.queue.push(500 * MS, WorldEvent::InnocentArrives);
        if self.scenario.poison_every_ms > 0 {
            self.queue.push(5_000 * MS, WorldEvent::PoisonArrives);
        }
        for endpoint in 0..self.endpoints.len() {
            self.next_own_crash(endpoint, 0);
        }
        self.next(
            self.scenario.break_every_ms,
            0,
            WorldEvent::ConnectionsBreak,
        );
        self.next(self.scenario.cut_every_ms, 0, WorldEvent::CutStarts);
    }

    pub(super) fn next(&mut self, every_ms: u64, at: u64, event: WorldEvent) {
        if every_ms > 0 {
            let gap = self.random.random_range(1..=2 * every_ms * MS);
            self.queue.push(at + gap, event);
        }
    }

    fn step(&mut self, at: u64, event: WorldEvent) {
        match event {
            WorldEvent::Tick(vm) => {
                self.queue.push(at + TICK_INTERVAL_US, WorldEvent::Tick(vm));
                self.apply(vm, CrashEvent::Tick, at);
            }
            WorldEvent::Guard { vm, event } => self.apply(vm, event, at),
            WorldEvent::Poll { vm } => {
                self.queue
                    .push(at + REPORT_INTERVAL_US, WorldEvent::Poll { vm });
                self.poll(vm, at);
            }
            WorldEvent::InnocentArrives => self.innocent(at),
            WorldEvent::PoisonArrives => self.poison(at),
            WorldEvent::SendPoison { number, sends } => self.poison_send(number, sends, at),
            WorldEvent::Attempt { request } => self.attempt(request, at),
            WorldEvent::RunEnds { vm, ticket } => self.complete_run(vm, ticket, at),
            WorldEvent::PoisonCrash { vm, ticket } => self.poison_crash(vm, ticket, at),
            WorldEvent::OwnCrash(endpoint) => self.own_crash(endpoint, at),
            WorldEvent::EndpointRestarted(endpoint) => {
                self.endpoints[endpoint].is_up = true;
                self.endpoints[endpoint].incarnation += 1;
            }
            WorldEvent::StreamBroken { vm, ticket } => self.break_stream(vm, ticket, at),
            WorldEvent::ConnectionsBreak => self.break_connections(at),
            WorldEvent::CutStarts => self.start_cut(at),
            WorldEvent::CutEnds => {
                self.cut = None;
                self.next(self.scenario.cut_every_ms, at, WorldEvent::CutStarts);
            }
        }
    }

    pub(super) fn apply(&mut self, vm: usize, event: CrashEvent, at: u64) {
        let now = LocalTime::from_micros(at);
        let effects = reduce(&mut self.vms[vm].state, event, now);
        for effect in effects {
            self.carry_out(vm, effect, at);
        }
    }

    fn carry_out(&mut self, vm: usize, effect: CrashEffect, at: u64) {
        match effect {
            CrashEffect::Send { to, message } => self.send(vm, &to, message, at),
            CrashEffect::Pass { ticket, avoid } => {
                let place = self.choose_endpoint(vm, ticket, &avoid);
                self.dispatch(vm, ticket, place, at);
            }
            CrashEffect::RunAlone { ticket, endpoint } => {
                let place = self.endpoints.iter().position(|one| one.name == endpoint);
                self.dispatch(vm, ticket, place, at);
            }
            CrashEffect::Wait { ticket } => {
                if let Some(run) = self.runs.get_mut(&ticket.get()) {
                    run.has_waited = true;
                }
            }
            CrashEffect::Refused { ticket, reason, .. } => self.refused(ticket, reason),
            CrashEffect::VerdictChanged { fingerprint, .. } => {
                self.record_blocked_body(fingerprint)
            }
            // Only VMs that start later need the verdicts stored on the platform, and
            // no VM does here: reads find nothing and every store succeeds.
            CrashEffect::Read => {
                let reply = ReadReply::Missing;
                let event = CrashEvent::ReadReplied { reply };
                self.queue
                    .push(at + 3 * MS, WorldEvent::Guard { vm, event });
            }
            CrashEffect::Store { .. } => {
                let version = clementinepond_types::ObjectVersion::new(at);
                let reply = StoreReply::Stored { version };
                let event = CrashEvent::StoreReplied { reply };
                self.queue
                    .push(at + 3 * MS, WorldEvent::Guard { vm, event });
            }
        }
    }

    fn send(&mut self, from: usize, to: &VmId, message: CrashMessage, at: u64) {
        self.tally.messages += 1;
        let Some(to) = self.vms.iter().position(|vm| vm.name == *to) else {
            return;
        };
        let (a, b) = (self.vms[from].centre, self.vms[to].centre);
        if self.is_cut(a, b) || self.chance(self.scenario.lost_messages) {
            return;
        }
        let base = if a == b { 200 } else { 1_500 };
        let delay = base + self.random.random_range(0..500);
        let from = self.vms[from].name.clone();
        let event = CrashEvent::Received { from, message };
        self.queue
            .push(at + delay, WorldEvent::Guard { vm: to, event });
    }

    pub(super) fn is_cut(&self, a: usize, b: usize) -> bool {
        a != b && (self.cut == Some(a) || self.cut == Some(b))
    }

    pub(super) fn chance(&mut self, thousandths: u32) -> bool {
        thousandths > 0 && self.random.random_range(0..1_000) < thousandths
    }

    pub(super) fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    pub(super) fn report_outcome(&mut self, vm: usize, ticket: u64, at: u64, kind: RunOutcome) {
        let ticket = CrashTicket::new(ticket);
        let event = match kind {
            RunOutcome::Completed => CrashEvent::Completed { ticket },
            RunOutcome::Stopped => CrashEvent::Stopped { ticket },
            RunOutcome::Broken => CrashEvent::StreamBroken { ticket },
        };
        self.apply(vm, event, at);
    }
}

/// Outcome of a run at its VM.
#[derive(Debug, Clone, Copy)]
pub(super) enum RunOutcome {
    Completed,
    Stopped,
    Broken,
}

fn simulated_endpoint(number: usize) -> Option<SimulatedEndpoint> {
    Some(SimulatedEndpoint {
        name: format!("endpoint-{number}").parse().ok()?,
        centre: number % VMS_PER_CENTRE.len(),
        incarnation: 1,
        is_up: true,
    })
}

/// Returns the fingerprint of a request with the body number as content.
pub(super) fn fingerprint(body: u64) -> Option<RequestFingerprint> {
    let account: AccountId = "account".parse().ok()?;
    let model: ModelId = "model".parse().ok()?;
    Some(RequestFingerprint::new(
        &account,
        &model,
        &body.to_le_bytes(),
    ))
}
