//! Injected faults: pauses, restarts, outages, partitions and roster changes.

use super::tally::CallOutcome;
use super::world::{ClaimWorld, MS, WorldEvent};
use clementinepond_decide::claim::{ClaimEvent, ClaimTicket};
use rand::RngExt as _;

/// Time that a stopped VM stays in the roster, in microseconds.
const HOLD_OFF: u64 = 2_000 * MS;

impl ClaimWorld {
    pub(super) fn schedule_faults(&mut self) {
        let faults = self.scenario.faults;
        self.next_fault(faults.pause_every_ms, 0, WorldEvent::Pause);
        self.next_fault(faults.restart_every_ms, 0, WorldEvent::Restart);
        self.next_fault(faults.outage_every_ms, 0, WorldEvent::OutageStarts);
        self.next_fault(faults.partition_every_ms, 0, WorldEvent::PartitionStarts);
        self.next_fault(faults.release_every_ms, 0, WorldEvent::Release);
    }

    fn next_fault(&mut self, every_ms: u64, at: u64, event: WorldEvent) {
        let arrivals_end = self.scenario.arrivals.micros();
        if every_ms > 0 && at < arrivals_end {
            let gap = self.random.random_range(1..=2 * every_ms * MS);
            self.queue.push(at + gap, event);
        }
    }

    pub(super) fn inject_fault(&mut self, event: WorldEvent, at: u64) {
        let faults = self.scenario.faults;
        match event {
            WorldEvent::Pause => {
                let node = self.random.random_range(0..self.nodes.len());
                let length = self.random.random_range(10 * MS..6_000 * MS);
                self.nodes[node].paused_until = at + length;
                self.next_fault(faults.pause_every_ms, at, WorldEvent::Pause);
            }
            WorldEvent::Restart => {
                let node = self.random.random_range(0..self.nodes.len());
                self.stop(node, at);
                self.next_fault(faults.restart_every_ms, at, WorldEvent::Restart);
            }
            WorldEvent::Started(node) => self.start(node, at),
            WorldEvent::OutageStarts => {
                self.platform.is_down = true;
                let length = self.random.random_range(200 * MS..8_000 * MS);
                self.queue.push(at + length, WorldEvent::OutageEnds);
            }
            WorldEvent::OutageEnds => {
                self.platform.is_down = false;
                self.next_fault(faults.outage_every_ms, at, WorldEvent::OutageStarts);
            }
            WorldEvent::PartitionStarts => self.partition(at),
            WorldEvent::PartitionEnds(centre) => {
                self.is_partitioned[centre] = false;
                self.is_cut_off_from_platform[centre] = false;
                let event = WorldEvent::PartitionStarts;
                self.next_fault(faults.partition_every_ms, at, event);
            }
            WorldEvent::Release => {
                let node = self.random.random_range(0..self.nodes.len());
                self.apply(node, ClaimEvent::Release, at);
                // Stops the VM even if it does not finish the release in time.
                let limit = self.random.random_range(500 * MS..4_000 * MS);
                self.queue.push(at + limit, WorldEvent::Stopped(node));
                self.next_fault(faults.release_every_ms, at, WorldEvent::Release);
            }
            WorldEvent::Stopped(node) => self.stop(node, at),
            WorldEvent::Removed(node) => self.remove(node, at),
            WorldEvent::Joined(node) => self.join(node, at),
            _ => {}
        }
    }

    fn partition(&mut self, at: u64) {
        let centre = self.random.random_range(0..self.is_partitioned.len());
        self.is_partitioned[centre] = true;
        self.is_cut_off_from_platform[centre] = self.chance(500);
        let length = self.random.random_range(200 * MS..6_000 * MS);
        self.queue
            .push(at + length, WorldEvent::PartitionEnds(centre));
    }

    /// Stops the process of a VM and schedules the start of a new one.
    fn stop(&mut self, node: usize, at: u64) {
        if !self.nodes[node].is_up {
            return;
        }
        self.nodes[node].is_up = false;
        self.nodes[node].paused_until = 0;
        let incarnation = self.nodes[node].incarnation;
        let unfinished: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.node == node && call.incarnation == incarnation)
            .filter(|(_, call)| !call.is_ended)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in unfinished {
            self.end_call(ClaimTicket::new(ticket), CallOutcome::VmLost, at);
        }
        // The new process may start before or after the VM is removed from the roster.
        let start = self.random.random_range(100 * MS..6_000 * MS);
        if start > HOLD_OFF {
            self.queue.push(at + HOLD_OFF, WorldEvent::Removed(node));
        }
        self.queue.push(at + start, WorldEvent::Started(node));
    }

    fn start(&mut self, node: usize, at: u64) {
        if self.nodes[node].is_up {
            return;
        }
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let settings = self.scenario.settings.clone();
        self.nodes[node].restart(&settings, incarnation);
        for centre in 0..self.rosters.len() {
            let event = self.roster_event(centre);
            self.schedule(node, incarnation, event, at + 5 * MS);
        }
        self.queue.push(at + 300 * MS, WorldEvent::Joined(node));
    }

    /// Removes a stopped VM from its roster, retrying while the platform is unavailable.
    fn remove(&mut self, node: usize, at: u64) {
        if self.nodes[node].is_up {
            return;
        }
        if self.platform.is_down {
            self.queue.push(at + 100 * MS, WorldEvent::Removed(node));
            return;
        }
        let centre = self.centre(node);
        let vm = self.nodes[node].vm.clone();
        let roster = &mut self.rosters[centre];
        if roster.members.len() > 1 && roster.members.contains(&vm) {
            roster.members.retain(|member| *member != vm);
            roster.epoch += 1;
            self.publish(centre, at);
        }
    }

    fn join(&mut self, node: usize, at: u64) {
        if !self.nodes[node].is_up {
            return;
        }
        if self.platform.is_down {
            self.queue.push(at + 100 * MS, WorldEvent::Joined(node));
            return;
        }
        let centre = self.centre(node);
        let vm = self.nodes[node].vm.clone();
        let roster = &mut self.rosters[centre];
        if !roster.members.contains(&vm) {
            roster.members.push(vm);
            roster.epoch += 1;
            self.publish(centre, at);
        }
    }
}
