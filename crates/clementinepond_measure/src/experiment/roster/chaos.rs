//! Faults at random moments.

use super::world::{SECOND, World};
use clementinepond_decide::roster::WHOLE_PARTS;
use std::collections::BTreeMap;

/// Change of the surroundings at one moment.
#[derive(Debug, Clone)]
enum ChaosStep {
    Start(usize),
    PlatformBack,
    CentreBack(usize),
    PeersBack(usize),
    VmBack(usize),
    Targets(Vec<u32>),
}

/// Faults of one run.
#[derive(Debug)]
pub(crate) struct ChaosSchedule {
    mean_gap: u64,
    next: u64,
    sequence: u64,
    steps: BTreeMap<(u64, u64), ChaosStep>,
    /// Faults of all kinds so far.
    pub(crate) faults: u64,
}

impl ChaosSchedule {
    /// Plans a fault about every so many microseconds.
    pub(crate) fn new(mean_gap: u64, first: u64) -> Self {
        Self {
            mean_gap,
            next: first,
            sequence: 0,
            steps: BTreeMap::new(),
            faults: 0,
        }
    }

    /// Runs a world with faults until a true time.
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
                self.next = world.now + 1 + world.below(2 * self.mean_gap);
            }
        }
    }

    fn later(&mut self, at: u64, step: ChaosStep) {
        self.sequence += 1;
        self.steps.insert((at, self.sequence), step);
    }

    fn fault(&mut self, world: &mut World) {
        self.faults += 1;
        let slot = pick(world);
        match world.below(20) {
            0..=3 => {
                world.remove(slot);
                let start = world.now + seconds(world, 5, 30);
                self.later(start, ChaosStep::Start(slot));
            }
            4..=7 => world.restart(slot),
            8..=10 => {
                world.shut_down(slot);
                let start = world.now + seconds(world, 60, 90);
                self.later(start, ChaosStep::Start(slot));
            }
            14 if world.shows_running_as_gone() => {
                let span = seconds(world, 5, 200);
                world.separate(slot, span);
                self.later(world.now + span, ChaosStep::VmBack(slot));
            }
            11..=14 => {
                let span = seconds(world, 1, 150);
                world.pause(slot, span);
            }
            15 => {
                world.set_outage(true);
                let end = world.now + seconds(world, 5, 200);
                self.later(end, ChaosStep::PlatformBack);
            }
            16 => {
                let centre = world.data_centre(slot);
                world.set_platform_cut(centre, true);
                let end = world.now + seconds(world, 5, 200);
                self.later(end, ChaosStep::CentreBack(centre));
            }
            17 => {
                let centre = world.data_centre(slot);
                world.cut_peers.insert(centre);
                let end = world.now + seconds(world, 5, 200);
                self.later(end, ChaosStep::PeersBack(centre));
            }
            _ => self.change_targets(world),
        }
    }

    /// Gives new shares to some VMs now and to all later.
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
            let share = world.below(most + 1);
            left -= share;
            targets.push(u32::try_from(share).unwrap_or(0));
        }
        let slots: Vec<usize> = (0..world.processes.len()).collect();
        let some: Vec<usize> = slots
            .iter()
            .copied()
            .filter(|_| world.below(2) == 0)
            .collect();
        world.set_targets(targets.clone(), &some);
        self.later(world.now + 3 * SECOND, ChaosStep::Targets(targets));
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
        ChaosStep::PlatformBack => world.set_outage(false),
        ChaosStep::CentreBack(centre) => world.set_platform_cut(centre, false),
        ChaosStep::PeersBack(centre) => {
            world.cut_peers.remove(&centre);
        }
        ChaosStep::VmBack(slot) => {
            world.separated.remove(&slot);
        }
        ChaosStep::Targets(targets) => {
            let slots: Vec<usize> = (0..world.processes.len()).collect();
            world.set_targets(targets, &slots);
        }
    }
}

fn pick(world: &mut World) -> usize {
    let count = u64::try_from(world.processes.len()).unwrap_or(1);
    usize::try_from(world.below(count)).unwrap_or(0)
}

fn seconds(world: &mut World, least: u64, most: u64) -> u64 {
    (least + world.below(most - least)) * SECOND
}
