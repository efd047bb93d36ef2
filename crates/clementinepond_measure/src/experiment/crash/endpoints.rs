//! Simulates endpoint crashes, broken connections and how VMs detect them.

use super::world::{CrashWorld, MS, WorldEvent};
use clementinepond_decide::crash::{CrashEvent, EndpointIncarnation};
use clementinepond_types::LocalTime;
use rand::RngExt as _;

/// Index of the endpoint that often crashes spontaneously.
const FLAKY_ENDPOINT: usize = 5;
/// Time without a report after which a VM treats an endpoint as unreachable.
const UNREACHABLE_AFTER_US: u64 = 1_000 * MS;

impl CrashWorld {
    pub(super) fn next_own_crash(&mut self, endpoint: usize, at: u64) {
        let every = if endpoint == FLAKY_ENDPOINT {
            self.scenario.flaky_every_ms
        } else {
            self.scenario.crash_every_ms
        };
        self.next(every, at, WorldEvent::OwnCrash(endpoint));
    }

    pub(super) fn own_crash(&mut self, endpoint: usize, at: u64) {
        if self.crash(endpoint, at) {
            self.tally.own_crashes += 1;
        }
        self.next_own_crash(endpoint, at);
    }

    /// Crashes the endpoint of a poison run, or only breaks the stream if that
    /// endpoint has crashed or restarted since the dispatch.
    pub(super) fn poison_crash(&mut self, vm: usize, ticket: u64, at: u64) {
        let Some(run) = self.runs.get(&ticket) else {
            return;
        };
        let Some((place, incarnation)) = run.place else {
            return;
        };
        let poison = self.requests.get(&run.request).and_then(|info| info.poison);
        let is_same_incarnation = self.endpoints[place].incarnation == incarnation;
        if is_same_incarnation && self.crash(place, at) {
            if let Some(lost) = poison.and_then(|one| self.tally.lost_by_poison.get_mut(&one)) {
                *lost += 1;
            }
        } else {
            self.break_stream(vm, ticket, at);
        }
    }

    fn crash(&mut self, place: usize, at: u64) -> bool {
        if !self.endpoints[place].is_up {
            return false;
        }
        self.endpoints[place].is_up = false;
        let incarnation = self.endpoints[place].incarnation;
        self.break_runs(at, |run_place, _| run_place == (place, incarnation));
        let down = self.random.random_range(1_500 * MS..6_000 * MS);
        self.queue
            .push(at + down, WorldEvent::EndpointRestarted(place));
        true
    }

    /// Breaks the streams of the runs that the predicate selects by endpoint,
    /// incarnation and VM.
    fn break_runs(&mut self, at: u64, is_chosen: impl Fn((usize, u64), usize) -> bool) {
        let chosen: Vec<(usize, u64)> = self
            .runs
            .iter()
            .filter_map(|(ticket, run)| {
                let vm = self.requests.get(&run.request)?.vm;
                let place = run.place?;
                is_chosen(place, vm).then_some((vm, *ticket))
            })
            .collect();
        for (vm, ticket) in chosen {
            let delay = self.random.random_range(200..5 * MS);
            self.queue
                .push(at + delay, WorldEvent::StreamBroken { vm, ticket });
        }
    }

    /// Breaks the connections between a random VM and a random endpoint.
    pub(super) fn break_connections(&mut self, at: u64) {
        let vm = self.random.random_range(0..self.vms.len());
        let place = self.random.random_range(0..self.endpoints.len());
        self.break_runs(at, |(run_place, _), run_vm| {
            run_place == place && run_vm == vm
        });
        self.next(
            self.scenario.break_every_ms,
            at,
            WorldEvent::ConnectionsBreak,
        );
    }

    /// Cuts a random data centre off from the others for 0.3 to 5 s.
    pub(super) fn start_cut(&mut self, at: u64) {
        let centre = self.random.random_range(0..3);
        self.cut = Some(centre);
        let vms: Vec<usize> = self.vms.iter().map(|vm| vm.centre).collect();
        let places: Vec<usize> = self.endpoints.iter().map(|one| one.centre).collect();
        self.break_runs(at, |(place, _), vm| {
            (places[place] == centre) != (vms[vm] == centre)
        });
        let length = self.random.random_range(300 * MS..5_000 * MS);
        self.queue.push(at + length, WorldEvent::CutEnds);
    }

    pub(super) fn is_reachable(&self, vm: usize, place: usize) -> bool {
        let endpoint = &self.endpoints[place];
        endpoint.is_up && !self.is_cut(self.vms[vm].centre, endpoint.centre)
    }

    /// Requests a report from every endpoint.
    pub(super) fn poll(&mut self, vm: usize, at: u64) {
        for place in 0..self.endpoints.len() {
            if self.is_reachable(vm, place) {
                self.report(vm, place, at);
            } else {
                self.no_report(vm, place, at);
            }
        }
    }

    fn report(&mut self, vm: usize, place: usize, at: u64) {
        let incarnation = self.endpoints[place].incarnation;
        let view = &mut self.vms[vm].views[place];
        view.incarnation = incarnation;
        view.is_usable = true;
        view.missing_since = None;
        view.is_reported_unreachable = false;
        let event = CrashEvent::EndpointReported {
            endpoint: self.endpoints[place].name.clone(),
            incarnation: EndpointIncarnation::new(incarnation),
            requested_at: LocalTime::from_micros(at),
        };
        self.apply(vm, event, at);
    }

    fn no_report(&mut self, vm: usize, place: usize, at: u64) {
        let view = &mut self.vms[vm].views[place];
        view.is_usable = false;
        let since = *view.missing_since.get_or_insert(at);
        if at < since + UNREACHABLE_AFTER_US || view.is_reported_unreachable {
            return;
        }
        view.is_reported_unreachable = true;
        let endpoint = self.endpoints[place].name.clone();
        self.apply(vm, CrashEvent::EndpointUnreachable { endpoint }, at);
    }
}
