//! Pauses, restarts, outages, cuts and roster changes.

use super::tally::CallEnd;
use super::world::{ClaimWorld, MS, WorldEvent};
use clementinepond_decide::claim::{ClaimEvent, ClaimTicket};
use rand::RngExt as _;

/// Time for which a stopped VM stays in the roster, in microseconds.
const HOLD_OFF: u64 = 2_000 * MS;

impl ClaimWorld {
    pub(super) fn schedule_faults(&mut self) {
        let faults = self.scenario.faults;
        self.next_fault(faults.pause_every_ms, 0, WorldEvent::Pause);
        self.next_fault(faults.restart_every_ms, 0, WorldEvent::Restart);
        self.next_fault(faults.outage_every_ms, 0, WorldEvent::OutageStarts);
        self.next_fault(faults.cut_every_ms, 0, WorldEvent::CutStarts);
        self.next_fault(faults.roster_every_ms, 0, WorldEvent::RosterStep);
    }

    fn next_fault(&mut self, every_ms: u64, at: u64, event: WorldEvent) {
        let ends = self.scenario.arrivals.micros();
        if every_ms > 0 && at < ends {
            let gap = self.random.random_range(1..=2 * every_ms * MS);
            self.queue.push(at + gap, event);
        }
    }

    pub(super) fn fault(&mut self, event: WorldEvent, at: u64) {
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
            WorldEvent::Back(node) => self.back(node, at),
            WorldEvent::OutageStarts => {
                self.platform.is_down = true;
                let length = self.random.random_range(200 * MS..8_000 * MS);
                self.queue.push(at + length, WorldEvent::OutageEnds);
            }
            WorldEvent::OutageEnds => {
                self.platform.is_down = false;
                self.next_fault(faults.outage_every_ms, at, WorldEvent::OutageStarts);
            }
            WorldEvent::CutStarts => self.cut(at),
            WorldEvent::CutEnds(centre) => {
                self.is_cut[centre] = false;
                self.is_cut_from_platform[centre] = false;
                let event = WorldEvent::CutStarts;
                self.next_fault(faults.cut_every_ms, at, event);
            }
            WorldEvent::RosterStep => {
                let node = self.random.random_range(0..self.nodes.len());
                self.apply(node, ClaimEvent::Release, at);
                // A release that takes too long ends with a stop.
                let limit = self.random.random_range(500 * MS..4_000 * MS);
                self.queue.push(at + limit, WorldEvent::Stopped(node));
                self.next_fault(faults.roster_every_ms, at, WorldEvent::RosterStep);
            }
            WorldEvent::Stopped(node) => self.stop(node, at),
            WorldEvent::Removed(node) => self.remove(node, at),
            WorldEvent::Joined(node) => self.join(node, at),
            _ => {}
        }
    }

    fn cut(&mut self, at: u64) {
        let centre = self.random.random_range(0..self.is_cut.len());
        self.is_cut[centre] = true;
        self.is_cut_from_platform[centre] = self.chance(500);
        let length = self.random.random_range(200 * MS..6_000 * MS);
        self.queue.push(at + length, WorldEvent::CutEnds(centre));
    }

    /// Ends the process of a VM.
    fn stop(&mut self, node: usize, at: u64) {
        if !self.nodes[node].is_up {
            return;
        }
        self.nodes[node].is_up = false;
        self.nodes[node].paused_until = 0;
        let incarnation = self.nodes[node].incarnation;
        let open: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| call.node == node && call.incarnation == incarnation)
            .filter(|(_, call)| !call.is_ended)
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in open {
            self.end(ClaimTicket::new(ticket), CallEnd::VmLost, at);
        }
        // A new process starts before or after the roster notices.
        let back = self.random.random_range(100 * MS..6_000 * MS);
        if back > HOLD_OFF {
            self.queue.push(at + HOLD_OFF, WorldEvent::Removed(node));
        }
        self.queue.push(at + back, WorldEvent::Back(node));
    }

    fn back(&mut self, node: usize, at: u64) {
        if self.nodes[node].is_up {
            return;
        }
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let settings = self.scenario.settings.clone();
        self.nodes[node].restart(&settings, incarnation);
        for centre in 0..self.rosters.len() {
            let event = self.roster_event(centre);
            self.later(node, incarnation, event, at + 5 * MS);
        }
        self.queue.push(at + 300 * MS, WorldEvent::Joined(node));
    }

    /// Takes a stopped VM out of its roster, once the platform answers.
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
