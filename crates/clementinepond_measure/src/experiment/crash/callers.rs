//! Callers, and the VMs that run their requests.

use super::world::{
    CrashWorld, ENDPOINTS, FakeRequest, FakeRun, MODELS, MS, RunNews, WorldEvent, fingerprint,
};
use clementinepond_decide::crash::{
    CrashEvent, CrashRefusal, CrashTicket, EndpointIncarnation, RequestFingerprint,
};
use clementinepond_types::{EndpointId, LocalTime};
use rand::RngExt as _;

/// Times that a caller sends a poison request.
const POISON_SENDS: u32 = 20;
/// Runs that a VM gives one request.
const ATTEMPT_LIMIT: u32 = 3;
/// Time that a caller waits, in microseconds.
const REQUEST_LIMIT: u64 = 30_000 * MS;
/// First number of bodies that many callers send.
const POPULAR_BODIES: u64 = 1 << 40;
/// First number of poison bodies.
const POISON_BODIES: u64 = 1 << 41;

impl CrashWorld {
    pub(super) fn innocent(&mut self, at: u64) {
        let mean = 1_000_000 / self.scenario.requests_per_second.max(1);
        let gap = self.random.random_range(1..=2 * mean);
        self.queue.push(at + gap, WorldEvent::Innocent);
        let number = self.number();
        let body = if self.chance(100) {
            POPULAR_BODIES + self.random.random_range(0..20)
        } else {
            number
        };
        let vm = self.random.random_range(0..self.vms.len());
        let duration = self.random.random_range(100 * MS..4_000 * MS);
        self.request(number, vm, body, None, duration, at);
    }

    pub(super) fn poison(&mut self, at: u64) {
        let every = self.scenario.poison_every_ms * MS;
        self.queue.push(at + every, WorldEvent::Poison);
        let number = self.number();
        self.tally.lost_by_poison.insert(number, 0);
        for _ in 0..self.scenario.poison_copies {
            let sends = POISON_SENDS / self.scenario.poison_copies;
            self.queue
                .push(at, WorldEvent::PoisonSend { number, sends });
        }
    }

    /// Sends a poison request to any VM.
    pub(super) fn poison_send(&mut self, number: u64, sends: u32, at: u64) {
        if sends == 0 {
            return;
        }
        self.tally.poison_sends += 1;
        let request = self.number();
        let vm = self.random.random_range(0..self.vms.len());
        let duration = self.random.random_range(5 * MS..300 * MS);
        let body = POISON_BODIES + number;
        self.request(request, vm, body, Some(number), duration, at);
        // The caller does not wait for the end of the first.
        let sends = sends - 1;
        let gap = self.random.random_range(400 * MS..1_200 * MS);
        self.queue
            .push(at + gap, WorldEvent::PoisonSend { number, sends });
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
        let request = FakeRequest {
            vm,
            body,
            poison,
            model: body % MODELS,
            duration,
            deadline: at + REQUEST_LIMIT,
            attempts: 0,
            is_ended: false,
        };
        self.requests.insert(number, request);
        self.attempt(number, at);
    }

    /// Asks the guard for one more run of a request.
    pub(super) fn attempt(&mut self, number: u64, at: u64) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if request.is_ended {
            return;
        }
        if request.attempts >= ATTEMPT_LIMIT || at >= request.deadline {
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
            FakeRun {
                request: number,
                asked_at: at,
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

    /// Returns the usable endpoints of a model, in random order.
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

    /// Sends a run to an endpoint.
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
            self.tally.waits.push(at - run.asked_at);
        }
        let Some(info) = self.requests.get(&request) else {
            return;
        };
        let body = info.body;
        let (duration, is_poison) = (info.duration, info.poison.is_some());
        let Some(place) = place.filter(|&place| self.is_reachable(vm, place)) else {
            self.runs.remove(&number);
            self.event_for(vm, number, at, RunNews::Stopped);
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

    /// Chooses an endpoint, if possible one where no suspect runs.
    pub(super) fn place_outside(
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

    pub(super) fn run_ends(&mut self, vm: usize, ticket: u64, at: u64) {
        let Some(run) = self.runs.remove(&ticket) else {
            return;
        };
        self.event_for(vm, ticket, at, RunNews::Completed);
        self.ended(run.request);
    }

    /// Breaks a run off; its request runs again if it may.
    pub(super) fn stream_breaks(&mut self, vm: usize, ticket: u64, at: u64) {
        let Some(run) = self.runs.remove(&ticket) else {
            return;
        };
        if let Some((place, _)) = run.place {
            self.vms[vm].views[place].is_usable = false;
        }
        self.event_for(vm, ticket, at, RunNews::Broken);
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
                CrashRefusal::Crowded => self.tally.innocents_crowded += 1,
            }
        }
        self.ended(run.request);
    }

    /// Counts verdicts on innocent bodies.
    pub(super) fn condemned(&mut self, found: RequestFingerprint) {
        let body = self.innocent_bodies.get(&found).copied();
        if let Some(body) = body
            && self.condemned.insert(body)
        {
            self.tally.innocents_condemned += 1;
        }
    }
}
