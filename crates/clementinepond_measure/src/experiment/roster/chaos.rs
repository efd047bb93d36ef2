//! Injects faults into the simulated world at random times.

use super::world::{SECOND, World};
use clementinepond_decide::roster::WHOLE_PARTS;
use std::collections::BTreeMap;

/// Scheduled follow-up that ends or completes a fault.
#[derive(Debug, Clone)]
enum ChaosStep {
    Start(usize),
    PlatformRestored,
    CentreReconnected(usize),
    PeersReconnected(usize),
    VmReconnected(usize),
    Targets(Vec<u32>),
}

/// Random fault schedule of one run.
#[derive(Debug)]
pub(crate) struct ChaosSchedule {
    mean_gap: u64,
    next: u64,
    sequence: u64,
    steps: BTreeMap<(u64, u64), ChaosStep>,
    /// Number of faults injected so far.
    pub(crate) faults: u64,
}

impl ChaosSchedule {
    /// Creates a schedule with a mean time between faults and the time of the
    /// first fault, in microseconds.
    pub(crate) fn new(mean_gap: u64, first: u64) -> Self {
        Self {
            mean_gap,
            next: first,
            sequence: 0,
            steps: BTreeMap::new(),
            faults: 0,
        }
    }

    /// Runs the world until a true time, injecting faults on the way.
    pub(crate) fn run(&mut self, world: &mut World, end: u64) {
        while world.now < end {
            let due = self.steps.keys().next().map_or(u64::MAX, |key| key.0);
            world.run_until(due.min(self.next).min(end));
            while let Some(entry) = self.steps.first_entry() {
                if entry.key().0 > world.now {
                    break;
                }
                let step = entry.remove();
                apply(world, step);
            }
            if self.next <= world.now {
                self.fault(world);
                self.next = world.now + 1 + world.random_below(2 * self.mean_gap);
            }
        }
    }

    fn schedule(&mut self, at: u64, step: ChaosStep) {
        self.sequence += 1;
        self.steps.insert((at, self.sequence), step);
    }

    fn fault(&mut self, world: &mut World) {
        self.faults += 1;
        let slot = random_slot(world);
        match world.random_below(20) {
            0..=3 => {
                world.remove(slot);
                let start = world.now + random_duration(world, 5, 30);
                self.schedule(start, ChaosStep::Start(slot));
            }
            4..=7 => world.restart(slot),
            8..=10 => {
                world.shut_down(slot);
                let start = world.now + random_duration(world, 60, 90);
                self.schedule(start, ChaosStep::Start(slot));
            }
            14 if world.shows_running_as_gone() => {
                let span = random_duration(world, 5, 200);
                world.isolate(slot, span);
                self.schedule(world.now + span, ChaosStep::VmReconnected(slot));
            }
            11..=14 => {
                let span = random_duration(world, 1, 150);
                world.pause(slot, span);
            }
            15 => {
                world.set_outage(true);
                let end = world.now + random_duration(world, 5, 200);
                self.schedule(end, ChaosStep::PlatformRestored);
            }
            16 => {
                let centre = world.data_centre(slot);
                world.set_platform_cut(centre, true);
                let end = world.now + random_duration(world, 5, 200);
                self.schedule(end, ChaosStep::CentreReconnected(centre));
            }
            17 => {
                let centre = world.data_centre(slot);
                world.cut_from_peers.insert(centre);
                let end = world.now + random_duration(world, 5, 200);
                self.schedule(end, ChaosStep::PeersReconnected(centre));
            }
            _ => self.change_targets(world),
        }
    }

    /// Draws new fleet shares, which about half of the VMs get now and all get
    /// 3 s later.
    fn change_targets(&mut self, world: &mut World) {
        let count = world.targets.len();
        let mut left = u64::from(WHOLE_PARTS);
        let mut targets = Vec::new();
        for index in 0..count {
            let most = if index + 1 == count {
                left
            } else {
                left / 2 + 1
            };
            let share = world.random_below(most + 1);
            left -= share;
            targets.push(u32::try_from(share).unwrap_or(0));
        }
        let slots: Vec<usize> = (0..world.processes.len()).collect();
        let some: Vec<usize> = slots
            .iter()
            .copied()
            .filter(|_| world.random_below(2) == 0)
            .collect();
        world.set_targets(targets.clone(), &some);
        self.schedule(world.now + 3 * SECOND, ChaosStep::Targets(targets));
    }
}

fn apply(world: &mut World, step: ChaosStep) {
    match step {
        ChaosStep::Start(slot) => {
            if world.processes.get(slot).is_some_and(Option::is_some) {
                world.remove(slot);
            }
            world.start_new(slot);
        }
        ChaosStep::PlatformRestored => world.set_outage(false),
        ChaosStep::CentreReconnected(centre) => world.set_platform_cut(centre, false),
        ChaosStep::PeersReconnected(centre) => {
            world.cut_from_peers.remove(&centre);
        }
        ChaosStep::VmReconnected(slot) => {
            world.isolated.remove(&slot);
        }
        ChaosStep::Targets(targets) => {
            let slots: Vec<usize> = (0..world.processes.len()).collect();
            world.set_targets(targets, &slots);
        }
    }
}

fn random_slot(world: &mut World) -> usize {
    let count = u64::try_from(world.processes.len()).unwrap_or(1);
    usize::try_from(world.random_below(count)).unwrap_or(0)
}

fn random_duration(world: &mut World, least: u64, most: u64) -> u64 {
    (least + world.random_below(most - least)) * SECOND
}
