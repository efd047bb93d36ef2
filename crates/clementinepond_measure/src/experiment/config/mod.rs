//! A configuration on its way to every VM, and withdrawn keys.

mod baseline;
mod sample;

use crate::experiment::roster::{MILLISECOND, SECOND, World, WorldPlan};
use crate::{ExperimentReport, MeasureTable, TargetResult};
use baseline::run_baseline;
use clementinepond_decide::configuration::{ConfigurationEvent, ConfigurationMutation};
use clementinepond_types::{KeyDigest, ObjectVersion};
use sample::{sample_key, sample_text};

/// Seconds within which a change must be in force everywhere.
const IN_FORCE_BOUND: f64 = 13.0;
/// Seconds within which a withdrawn key must be refused.
const WITHDRAWAL_BOUND: f64 = 10.0;
/// Bytes that one VM may send and receive for control a second.
const TRAFFIC_BOUND: f64 = 12_000.0;
/// Seconds between two changes at 1,500 a day.
const CHANGE_PERIOD: u64 = 58;
/// Longest wait for a change, in seconds.
const WAIT_LIMIT: u64 = 60;
/// Seconds that a fleet has to start.
const START: u64 = 40;
/// Data centres.
const CENTRES: usize = 4;
/// Key that the experiment withdraws, by number.
const WITHDRAWN_KEY: usize = 7;

/// Sizes of one run.
#[derive(Debug, Clone, Copy)]
pub struct ConfigSizes {
    /// VMs of the run with faults.
    pub vms: usize,
    /// Keys in the configuration.
    pub keys: usize,
    /// Fleets whose platform calls are compared.
    pub fleets: &'static [usize],
    /// Changes at the stated rate while bytes are counted.
    pub changes: u64,
}

/// Sizes of a full run.
const FULL: ConfigSizes = ConfigSizes {
    vms: 390,
    keys: 800,
    fleets: &[8, 64, 390],
    changes: 1,
};

/// Runs the experiment.
#[must_use]
pub fn run(seed: u64) -> ExperimentReport {
    run_with(seed, FULL, ConfigurationMutation::None)
}

/// Runs the experiment with other sizes, and with one guard off.
#[must_use]
pub fn run_with(
    seed: u64,
    sizes: ConfigSizes,
    mutation: ConfigurationMutation,
) -> ExperimentReport {
    let mut report = ExperimentReport::new("config", seed);
    let mut current = MeasureTable::new();
    let mut course = ChangeCourse::start(seed, sizes, mutation);
    course.run_changes(&mut current, &mut report);
    course.run_withdrawal(&mut current, &mut report);
    let reverts = course.world.reverts();
    report.violations.insert("configuration_reverted", reverts);
    drop(course);
    let mut baseline = MeasureTable::new();
    for &vms in sizes.fleets {
        run_quiet(seed, vms, sizes, &mut current, &mut report);
        run_baseline(seed, vms, &mut baseline);
    }
    report.policies.insert("baseline", baseline);
    report.policies.insert("current", current);
    report
}

/// One world and the number of its next change.
struct ChangeCourse {
    world: World,
    sizes: ConfigSizes,
    number: u64,
}

impl ChangeCourse {
    fn start(seed: u64, sizes: ConfigSizes, mutation: ConfigurationMutation) -> Self {
        let mut plan = WorldPlan::quiet(seed, CENTRES, sizes.vms);
        plan.tick = 500 * MILLISECOND;
        plan.lost = 20;
        plan.duplicated = 10;
        plan.late = 5;
        plan.answers_lost = 20;
        plan.configuration.mutation = mutation;
        let mut course = Self {
            world: World::new(plan),
            sizes,
            number: 0,
        };
        course.change();
        course.world.run_until(START * SECOND);
        course
    }

    fn change(&mut self) -> ObjectVersion {
        self.number += 1;
        let text = sample_text(self.number, self.sizes.keys);
        self.world.write_configuration(&text)
    }

    /// Writes a change and returns the seconds until it is in force in the
    /// data centres counted.
    fn timed_change(&mut self, is_counted: impl Fn(usize) -> bool) -> f64 {
        let begin = self.world.now;
        let version = self.change();
        self.wait_for(version, begin, is_counted)
    }

    fn wait_for(
        &mut self,
        version: ObjectVersion,
        begin: u64,
        is_counted: impl Fn(usize) -> bool,
    ) -> f64 {
        let limit = begin + WAIT_LIMIT * SECOND;
        while self.world.now < limit && self.world.count_outdated(version, &is_counted) > 0 {
            let next = self.world.now + 50 * MILLISECOND;
            self.world.run_until(next);
        }
        seconds(self.world.now - begin)
    }

    fn settle(&mut self) {
        let next = self.world.now + 5 * SECOND;
        self.world.run_until(next);
    }

    fn run_changes(&mut self, current: &mut MeasureTable, report: &mut ExperimentReport) {
        let quiet = self.timed_change(|_| true);
        self.settle();
        let lost_relay = self.change_without_relay();
        self.settle();
        let cut_platform = self.change_beside_cut_platform();
        let after_cut = self.change_across_cut();
        current.insert("in_force_s_messages_lost", quiet);
        current.insert("in_force_s_relay_lost", lost_relay);
        current.insert("in_force_s_platform_cut", cut_platform);
        current.insert("in_force_s_after_full_cut", after_cut);
        let worst = quiet.max(lost_relay).max(cut_platform);
        report.targets.push(TargetResult::at_most(
            "seconds until in force at 390 VMs, one relay lost",
            IN_FORCE_BOUND,
            worst,
        ));
    }

    fn change_without_relay(&mut self) -> f64 {
        if let Some(relay) = self.world.relay_of(0) {
            self.world.remove(relay);
        }
        self.timed_change(|_| true)
    }

    /// One data centre reaches the others but not the platform.
    fn change_beside_cut_platform(&mut self) -> f64 {
        self.world.set_platform_cut(1, true);
        self.settle();
        let time = self.timed_change(|_| true);
        self.world.set_platform_cut(1, false);
        self.settle();
        time
    }

    /// One data centre is cut off from all and learns the change afterwards.
    fn change_across_cut(&mut self) -> f64 {
        self.world.set_platform_cut(2, true);
        self.world.cut_from_peers.insert(2);
        self.settle();
        let begin = self.world.now;
        let version = self.change();
        self.wait_for(version, begin, |centre| centre != 2);
        self.settle();
        self.world.set_platform_cut(2, false);
        self.world.cut_from_peers.remove(&2);
        let healed = self.world.now;
        self.wait_for(version, healed, |_| true)
    }

    /// Withdraws a key while the platform is away.
    fn run_withdrawal(&mut self, current: &mut MeasureTable, report: &mut ExperimentReport) {
        let key = sample_key(WITHDRAWN_KEY);
        self.world.set_outage(true);
        self.settle();
        let begin = self.world.now;
        let asked = ConfigurationEvent::WithdrawalRequested {
            request: 1,
            keys: vec![key],
        };
        self.world.handle_event(1, asked.into());
        let reach = self.wait_refused(&key, begin);
        self.world.restart(5);
        self.world.set_outage(false);
        for _ in 0..6 {
            self.settle();
        }
        let recorded = self.world.is_recorded(&key);
        self.change();
        self.settle();
        self.settle();
        let late = u64::from(seconds(reach) > WITHDRAWAL_BOUND);
        let accepting = self.world.count_accepting(&key);
        report
            .violations
            .insert("withdrawn_key_accepted", late + accepting);
        current.insert("withdrawal_refused_s", seconds(reach));
        current.insert("withdrawal_recorded", f64::from(u8::from(recorded)));
        report.targets.push(TargetResult::at_most(
            "seconds until a withdrawn key is refused, platform away",
            WITHDRAWAL_BOUND,
            seconds(reach),
        ));
    }

    fn wait_refused(&mut self, key: &KeyDigest, begin: u64) -> u64 {
        while self.world.now < begin + WAIT_LIMIT * SECOND && self.world.count_accepting(key) > 0 {
            let next = self.world.now + 50 * MILLISECOND;
            self.world.run_until(next);
        }
        self.world.now - begin
    }
}

/// Counts calls and bytes at the stated rate of changes, without faults.
fn run_quiet(
    seed: u64,
    vms: usize,
    sizes: ConfigSizes,
    current: &mut MeasureTable,
    report: &mut ExperimentReport,
) {
    let (calls, bytes) = quiet_costs(seed, vms, sizes, true);
    let (calls_name, bytes_name) = match vms {
        8 => ("platform_calls_per_s_8", "bytes_per_vm_s_largest_8"),
        64 => ("platform_calls_per_s_64", "bytes_per_vm_s_largest_64"),
        _ => ("platform_calls_per_s_390", "bytes_per_vm_s_largest_390"),
    };
    current.insert(calls_name, calls);
    current.insert(bytes_name, bytes);
    if vms == 64 {
        let (_, whole) = quiet_costs(seed, vms, sizes, false);
        current.insert("bytes_per_vm_s_largest_64_whole_texts", whole);
    }
    if vms < 390 {
        return;
    }
    let few = current.get("platform_calls_per_s_8").copied();
    report.targets.push(TargetResult::at_most(
        "platform calls a second, 390 VMs beside 8",
        few.unwrap_or(0.0) * 1.05,
        calls,
    ));
    report.targets.push(TargetResult::at_most(
        "bytes a second of the busiest VM at 390",
        TRAFFIC_BOUND,
        bytes,
    ));
}

fn quiet_costs(seed: u64, vms: usize, sizes: ConfigSizes, has_history: bool) -> (f64, f64) {
    let mut plan = WorldPlan::quiet(seed, CENTRES, vms);
    plan.tick = 500 * MILLISECOND;
    if !has_history {
        plan.configuration.history = 0;
    }
    let mut world = World::new(plan);
    world.write_configuration(&sample_text(1, sizes.keys));
    world.run_until(START * SECOND);
    world.traffic.clear();
    let calls = world.platform.calls;
    for change in 0..sizes.changes {
        world.write_configuration(&sample_text(2 + change, sizes.keys));
        let next = world.now + CHANGE_PERIOD * SECOND;
        world.run_until(next);
    }
    let length = (sizes.changes * CHANGE_PERIOD).max(1) as f64;
    let (_, largest) = world.traffic.mean_and_largest();
    let calls = (world.platform.calls - calls) as f64;
    (calls / length, largest / length)
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / SECOND as f64
}
