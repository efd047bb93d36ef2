//! Simulates callers, and the VMs that run their requests.

use super::world::{
    CrashWorld, ENDPOINTS, MODELS, MS, RunOutcome, SimulatedRequest, SimulatedRun, WorldEvent,
    fingerprint,
};
use clementinepond_decide::crash::{
    CrashEvent, CrashRefusal, CrashTicket, EndpointIncarnation, RequestFingerprint,
};
use clementinepond_types::{EndpointId, LocalTime};
use rand::RngExt as _;

/// Number of times that each poison request is sent, over all copies.
const SENDS_PER_POISON_REQUEST: u32 = 20;
/// Number of times that a VM dispatches one request at most.
const MAX_ATTEMPTS: u32 = 3;
/// Time from the arrival of a request to its deadline.
const REQUEST_TIMEOUT_US: u64 = 30_000 * MS;
/// First of the body numbers that several innocent requests share.
const FIRST_SHARED_BODY: u64 = 1 << 40;
/// First of the body numbers of poison requests.
const FIRST_POISON_BODY: u64 = 1 << 41;

impl CrashWorld {
    pub(super) fn innocent(&mut self, at: u64) {
        let mean = 1_000_000 / self.scenario.requests_per_second.max(1);
        let gap = self.random.random_range(1..=2 * mean);
        self.queue.push(at + gap, WorldEvent::InnocentArrives);
        let number = self.number();
        let body = if self.chance(100) {
            FIRST_SHARED_BODY + self.random.random_range(0..20)
        } else {
            number
        };
        let vm = self.random.random_range(0..self.vms.len());
        let duration = self.random.random_range(100 * MS..4_000 * MS);
        self.request(number, vm, body, None, duration, at);
    }

    pub(super) fn poison(&mut self, at: u64) {
        let every = self.scenario.poison_every_ms * MS;
        self.queue.push(at + every, WorldEvent::PoisonArrives);
        let number = self.number();
        self.tally.lost_by_poison.insert(number, 0);
        for _ in 0..self.scenario.poison_copies {
            let sends = SENDS_PER_POISON_REQUEST / self.scenario.poison_copies;
            self.queue
                .push(at, WorldEvent::SendPoison { number, sends });
        }
    }

    /// Sends a poison request to a random VM and schedules the remaining sends.
    pub(super) fn poison_send(&mut self, number: u64, sends: u32, at: u64) {
        if sends == 0 {
            return;
        }
        self.tally.poison_sends += 1;
        let request = self.number();
        let vm = self.random.random_range(0..self.vms.len());
        let duration = self.random.random_range(5 * MS..300 * MS);
        let body = FIRST_POISON_BODY + number;
        self.request(request, vm, body, Some(number), duration, at);
        // The caller sends again without waiting for the previous send to end.
        let sends = sends - 1;
        let gap = self.random.random_range(400 * MS..1_200 * MS);
        self.queue
            .push(at + gap, WorldEvent::SendPoison { number, sends });
    }

    fn request(
        &mut self,
        number: u64,
        vm: usize,
        body: u64,
        poison: Option<u64>,
        duration: u64,
        at: u64,
    ) {
        if poison.is_none()
            && let Some(found) = fingerprint(body)
        {
            self.innocent_bodies.insert(found, body);
        }
        let request = SimulatedRequest {
            vm,
            body,
            poison,
            model: body % MODELS,
            duration,
            deadline: at + REQUEST_TIMEOUT_US,
            attempts: 0,
            is_ended: false,
        };
        self.requests.insert(number, request);
        self.attempt(number, at);
    }

    /// Requests another run of a request from the crash guard.
    pub(super) fn attempt(&mut self, number: u64, at: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if request.is_ended {
            return;
        }
        if request.attempts >= MAX_ATTEMPTS || at >= request.deadline {
            self.failed(number);
            return;
        }
        let (vm, body, deadline) = (request.vm, request.body, request.deadline);
        let candidates = self.candidates(vm, request.model);
        let Some(fingerprint) = fingerprint(body) else {
            return;
        };
        if candidates.is_empty() {
            let request = number;
            self.queue
                .push(at + 100 * MS, WorldEvent::Attempt { request });
            return;
        }
        let ticket = self.number();
        self.runs.insert(
            ticket,
            SimulatedRun {
                request: number,
                requested_at: at,
                has_waited: false,
                place: None,
            },
        );
        let event = CrashEvent::RunRequested {
            ticket: CrashTicket::new(ticket),
            fingerprint,
            candidates,
            deadline: LocalTime::from_micros(deadline),
        };
        self.apply(vm, event, at);
    }

    /// Returns the endpoints of a model that the VM considers usable, in random
    /// order.
    fn candidates(&mut self, vm: usize, model: u64) -> Vec<EndpointId> {
        let mut places: Vec<usize> = (0..ENDPOINTS)
            .filter(|&place| place as u64 % MODELS == model)
            .filter(|&place| self.vms[vm].views[place].is_usable)
            .collect();
        for place in (1..places.len()).rev() {
            let other = self.random.random_range(0..=place);
            places.swap(place, other);
        }
        let names = places.into_iter();
        names
            .map(|place| self.endpoints[place].name.clone())
            .collect()
    }

    /// Dispatches a run to an endpoint, or stops it and tries again after 100 ms
    /// if the endpoint cannot be reached.
    pub(super) fn dispatch(
        &mut self,
        vm: usize,
        ticket: CrashTicket,
        place: Option<usize>,
        at: u64,
    ) {
        let number = ticket.get();
        let Some(run) = self.runs.get(&number) else {
            return;
        };
        let request = run.request;
        if run.has_waited {
            self.tally.waits.push(at - run.requested_at);
        }
        let Some(info) = self.requests.get(&request) else {
            return;
        };
        let body = info.body;
        let (duration, is_poison) = (info.duration, info.poison.is_some());
        let Some(place) = place.filter(|&place| self.is_reachable(vm, place)) else {
            self.runs.remove(&number);
            self.report_outcome(vm, number, at, RunOutcome::Stopped);
            self.queue
                .push(at + 100 * MS, WorldEvent::Attempt { request });
            return;
        };
        let Some(fingerprint) = fingerprint(body) else {
            return;
        };
        let event = CrashEvent::Dispatched {
            ticket,
            fingerprint,
            endpoint: self.endpoints[place].name.clone(),
            incarnation: EndpointIncarnation::new(self.vms[vm].views[place].incarnation),
        };
        let incarnation = self.endpoints[place].incarnation;
        if let Some(run) = self.runs.get_mut(&number) {
            run.place = Some((place, incarnation));
        }
        if let Some(info) = self.requests.get_mut(&request) {
            info.attempts += 1;
        }
        self.apply(vm, event, at);
        let ticket = number;
        let event = if is_poison {
            WorldEvent::PoisonCrash { vm, ticket }
        } else {
            WorldEvent::RunEnds { vm, ticket }
        };
        self.queue.push(at + duration, event);
    }

    /// Returns an endpoint for a run, preferring those that are not to be avoided.
    pub(super) fn choose_endpoint(
        &mut self,
        vm: usize,
        ticket: CrashTicket,
        avoid: &[EndpointId],
    ) -> Option<usize> {
        let request = self.runs.get(&ticket.get())?.request;
        let model = self.requests.get(&request)?.model;
        let candidates = self.candidates(vm, model);
        let free = candidates.iter().find(|name| !avoid.contains(name));
        let chosen = free.or(candidates.first())?;
        self.endpoints.iter().position(|one| one.name == *chosen)
    }

    pub(super) fn complete_run(&mut self, vm: usize, ticket: u64, at: u64) {
        let Some(run) = self.runs.remove(&ticket) else {
            return;
        };
        self.report_outcome(vm, ticket, at, RunOutcome::Completed);
        self.ended(run.request);
    }

    /// Ends a run whose stream broke, and attempts its request again.
    pub(super) fn break_stream(&mut self, vm: usize, ticket: u64, at: u64) {
        let Some(run) = self.runs.remove(&ticket) else {
            return;
        };
        if let Some((place, _)) = run.place {
            self.vms[vm].views[place].is_usable = false;
        }
        self.report_outcome(vm, ticket, at, RunOutcome::Broken);
        self.attempt(run.request, at);
    }

    fn ended(&mut self, request: u64) {
        let Some(info) = self.requests.get_mut(&request) else {
            return;
        };
        if info.is_ended {
            return;
        }
        info.is_ended = true;
        if info.poison.is_none() {
            self.tally.innocents += 1;
        }
    }

    fn failed(&mut self, request: u64) {
        let is_innocent = self.is_innocent(request);
        self.tally.innocents_failed += u64::from(is_innocent);
        self.ended(request);
    }

    fn is_innocent(&self, request: u64) -> bool {
        let info = self.requests.get(&request);
        info.is_some_and(|info| info.poison.is_none())
    }

    pub(super) fn refused(&mut self, ticket: CrashTicket, reason: CrashRefusal) {
        let Some(run) = self.runs.remove(&ticket.get()) else {
            return;
        };
        if self.is_innocent(run.request) {
            match reason {
                CrashRefusal::Poison => self.tally.innocents_refused += 1,
                CrashRefusal::Crowded => self.tally.innocents_overloaded += 1,
            }
        }
        self.ended(run.request);
    }

    /// Counts an innocent body when it first gets a verdict.
    pub(super) fn record_blocked_body(&mut self, found: RequestFingerprint) {
        let body = self.innocent_bodies.get(&found).copied();
        if let Some(body) = body
            && self.blocked_bodies.insert(body)
        {
            self.tally.innocents_blocked += 1;
        }
    }
}
