//! Endpoints that crash, and what VMs notice of it.

use super::world::{CrashWorld, MS, WorldEvent};
use clementinepond_decide::crash::{CrashEvent, EndpointIncarnation};
use clementinepond_types::LocalTime;
use rand::RngExt as _;

/// The endpoint that often crashes by itself.
const FLAKY_ENDPOINT: usize = 5;
/// Time after which a VM reports an endpoint as lost, in microseconds.
const LOST_AFTER: u64 = 1_000 * MS;

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

    /// Crashes the endpoint of a poison run that is still there.
    pub(super) fn poison_crash(&mut self, vm: usize, ticket: u64, at: u64) {
        let Some(run) = self.runs.get(&ticket) else {
            return;
        };
        let Some((place, incarnation)) = run.place else {
            return;
        };
        let poison = self.requests.get(&run.request).and_then(|info| info.poison);
        let is_there = self.endpoints[place].incarnation == incarnation;
        if is_there && self.crash(place, at) {
            if let Some(lost) = poison.and_then(|one| self.tally.lost_by_poison.get_mut(&one)) {
                *lost += 1;
            }
        } else {
            self.stream_breaks(vm, ticket, at);
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
        self.queue.push(at + down, WorldEvent::EndpointBack(place));
        true
    }

    /// Breaks the connections of chosen runs.
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
                .push(at + delay, WorldEvent::StreamBreaks { vm, ticket });
        }
    }

    /// Breaks the connections between one VM and one endpoint.
    pub(super) fn connections_break(&mut self, at: u64) {
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

    /// Cuts one data centre off from the others.
    pub(super) fn cut_starts(&mut self, at: u64) {
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

    /// Asks every endpoint for a report.
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
        view.is_reported_lost = false;
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
        if at < since + LOST_AFTER || view.is_reported_lost {
            return;
        }
        view.is_reported_lost = true;
        let endpoint = self.endpoints[place].name.clone();
        self.apply(vm, CrashEvent::EndpointUnreachable { endpoint }, at);
    }
}
