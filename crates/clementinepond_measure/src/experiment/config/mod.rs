//! Experiment on the distribution of configuration changes and key withdrawals to every VM.

mod baseline;
mod sample;

use crate::experiment::roster::{MILLISECOND, SECOND, World, WorldPlan};
use crate::{ExperimentReport, MeasureTable, TargetResult};
use baseline::run_baseline;
use clementinepond_decide::configuration::{ConfigurationEvent, ConfigurationMutation};
use clementinepond_types::{KeyDigest, ObjectVersion};
use sample::{sample_key, sample_text};

/// Maximum time until a change is in force everywhere, in seconds.
const IN_FORCE_LIMIT_S: f64 = 13.0;
/// Maximum time until every VM refuses a withdrawn key, in seconds.
const WITHDRAWAL_LIMIT_S: f64 = 10.0;
/// Maximum control traffic of one VM, sent and received, in bytes per second.
const TRAFFIC_LIMIT_BYTES_PER_S: f64 = 12_000.0;
/// Interval between changes in seconds, for 1,500 changes a day.
const CHANGE_INTERVAL_S: u64 = 58;
/// Time limit for a change or withdrawal to reach every VM, in seconds.
const WAIT_LIMIT_S: u64 = 60;
/// Time allowed for a fleet to start, in seconds.
const STARTUP_DURATION_S: u64 = 40;
/// Number of data centres.
const CENTRES: usize = 4;
/// Number of the key that the experiment withdraws.
const WITHDRAWN_KEY: usize = 7;

/// Sizes of one run of the `config` experiment.
#[derive(Debug, Clone, Copy)]
pub struct ConfigSizes {
    /// Number of VMs in the simulation with faults.
    pub vms: usize,
    /// Number of keys in the configuration.
    pub keys: usize,
    /// Numbers of VMs for which platform calls and traffic are measured.
    pub fleets: &'static [usize],
    /// Number of changes, one every 58 s, while platform calls and bytes are counted.
    pub changes: u64,
}

/// Sizes of a run from the command line.
const FULL_SIZES: ConfigSizes = ConfigSizes {
    vms: 390,
    keys: 800,
    fleets: &[8, 64, 390],
    changes: 1,
};

/// Runs the `config` experiment with the sizes of a full run.
#[must_use]
pub fn run(seed: u64) -> ExperimentReport {
    run_with(seed, FULL_SIZES, ConfigurationMutation::None)
}

/// Runs the `config` experiment with the given sizes and the guard named by `mutation` disabled.
#[must_use]
pub fn run_with(
    seed: u64,
    sizes: ConfigSizes,
    mutation: ConfigurationMutation,
) -> ExperimentReport {
    let mut report = ExperimentReport::new("config", seed);
    let mut current = MeasureTable::new();
    let mut simulation = ConfigSimulation::start(seed, sizes, mutation);
    simulation.run_changes(&mut current, &mut report);
    simulation.run_withdrawal(&mut current, &mut report);
    let reverts = simulation.world.reverts();
    report.violations.insert("configuration_reverted", reverts);
    drop(simulation);
    let mut baseline = MeasureTable::new();
    for &vms in sizes.fleets {
        run_without_faults(seed, vms, sizes, &mut current, &mut report);
        run_baseline(seed, vms, &mut baseline);
    }
    report.policies.insert("baseline", baseline);
    report.policies.insert("current", current);
    report
}

/// Simulation with faults, and the number of its latest change.
struct ConfigSimulation {
    world: World,
    sizes: ConfigSizes,
    number: u64,
}

impl ConfigSimulation {
    fn start(seed: u64, sizes: ConfigSizes, mutation: ConfigurationMutation) -> Self {
        let mut plan = WorldPlan::quiet(seed, CENTRES, sizes.vms);
        plan.tick = 500 * MILLISECOND;
        plan.lost = 20;
        plan.duplicated = 10;
        plan.late = 5;
        plan.answers_lost = 20;
        plan.configuration.mutation = mutation;
        let mut simulation = Self {
            world: World::new(plan),
            sizes,
            number: 0,
        };
        simulation.change();
        simulation.world.run_until(STARTUP_DURATION_S * SECOND);
        simulation
    }

    fn change(&mut self) -> ObjectVersion {
        self.number += 1;
        let text = sample_text(self.number, self.sizes.keys);
        self.world.write_configuration(&text)
    }

    /// Writes a change and returns the seconds until it is in force in the data
    /// centres for which `is_counted` returns true, up to the time limit.
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
        let limit = begin + WAIT_LIMIT_S * SECOND;
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
        let messages_lost = self.timed_change(|_| true);
        self.settle();
        let lost_relay = self.change_without_relay();
        self.settle();
        let cut_platform = self.change_with_platform_cut();
        let after_cut = self.change_during_full_cut();
        current.insert("in_force_s_messages_lost", messages_lost);
        current.insert("in_force_s_relay_lost", lost_relay);
        current.insert("in_force_s_platform_cut", cut_platform);
        current.insert("in_force_s_after_full_cut", after_cut);
        let worst = messages_lost.max(lost_relay).max(cut_platform);
        report.targets.push(TargetResult::at_most(
            "seconds until in force at 390 VMs, one relay lost",
            IN_FORCE_LIMIT_S,
            worst,
        ));
    }

    fn change_without_relay(&mut self) -> f64 {
        if let Some(relay) = self.world.relay_of(0) {
            self.world.remove(relay);
        }
        self.timed_change(|_| true)
    }

    /// Measures a change while one data centre reaches the others but not the platform.
    fn change_with_platform_cut(&mut self) -> f64 {
        self.world.set_platform_cut(1, true);
        self.settle();
        let time = self.timed_change(|_| true);
        self.world.set_platform_cut(1, false);
        self.settle();
        time
    }

    /// Measures the time until a change is in force everywhere after one data
    /// centre, cut off while the change was written, is reconnected.
    fn change_during_full_cut(&mut self) -> f64 {
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

    /// Withdraws a key while the platform is unavailable.
    fn run_withdrawal(&mut self, current: &mut MeasureTable, report: &mut ExperimentReport) {
        let key = sample_key(WITHDRAWN_KEY);
        self.world.set_outage(true);
        self.settle();
        let begin = self.world.now;
        let withdrawal = ConfigurationEvent::WithdrawalRequested {
            request: 1,
            keys: vec![key],
        };
        self.world.handle_event(1, withdrawal.into());
        let refusal_time = self.wait_until_refused(&key, begin);
        self.world.restart(5);
        self.world.set_outage(false);
        for _ in 0..6 {
            self.settle();
        }
        let recorded = self.world.is_recorded(&key);
        self.change();
        self.settle();
        self.settle();
        let late = u64::from(seconds(refusal_time) > WITHDRAWAL_LIMIT_S);
        let accepting = self.world.count_accepting(&key);
        report
            .violations
            .insert("withdrawn_key_accepted", late + accepting);
        current.insert("withdrawal_refused_s", seconds(refusal_time));
        current.insert("withdrawal_recorded", f64::from(u8::from(recorded)));
        report.targets.push(TargetResult::at_most(
            "seconds until a withdrawn key is refused, platform away",
            WITHDRAWAL_LIMIT_S,
            seconds(refusal_time),
        ));
    }

    fn wait_until_refused(&mut self, key: &KeyDigest, begin: u64) -> u64 {
        while self.world.now < begin + WAIT_LIMIT_S * SECOND && self.world.count_accepting(key) > 0
        {
            let next = self.world.now + 50 * MILLISECOND;
            self.world.run_until(next);
        }
        self.world.now - begin
    }
}

/// Measures platform calls and traffic at 1,500 changes a day, without faults.
fn run_without_faults(
    seed: u64,
    vms: usize,
    sizes: ConfigSizes,
    current: &mut MeasureTable,
    report: &mut ExperimentReport,
) {
    let (calls, bytes) = fault_free_costs(seed, vms, sizes, true);
    let (calls_name, bytes_name) = match vms {
        8 => ("platform_calls_per_s_8", "bytes_per_vm_s_largest_8"),
        64 => ("platform_calls_per_s_64", "bytes_per_vm_s_largest_64"),
        _ => ("platform_calls_per_s_390", "bytes_per_vm_s_largest_390"),
    };
    current.insert(calls_name, calls);
    current.insert(bytes_name, bytes);
    if vms == 64 {
        let (_, bytes_without_history) = fault_free_costs(seed, vms, sizes, false);
        current.insert(
            "bytes_per_vm_s_largest_64_whole_texts",
            bytes_without_history,
        );
    }
    if vms < 390 {
        return;
    }
    let calls_at_8 = current.get("platform_calls_per_s_8").copied();
    report.targets.push(TargetResult::at_most(
        "platform calls a second, 390 VMs beside 8",
        calls_at_8.unwrap_or(0.0) * 1.05,
        calls,
    ));
    report.targets.push(TargetResult::at_most(
        "bytes a second of the busiest VM at 390",
        TRAFFIC_LIMIT_BYTES_PER_S,
        bytes,
    ));
}

fn fault_free_costs(seed: u64, vms: usize, sizes: ConfigSizes, has_history: bool) -> (f64, f64) {
    let mut plan = WorldPlan::quiet(seed, CENTRES, vms);
    plan.tick = 500 * MILLISECOND;
    if !has_history {
        plan.configuration.history = 0;
    }
    let mut world = World::new(plan);
    world.write_configuration(&sample_text(1, sizes.keys));
    world.run_until(STARTUP_DURATION_S * SECOND);
    world.traffic.clear();
    let calls = world.platform.calls;
    for change in 0..sizes.changes {
        world.write_configuration(&sample_text(2 + change, sizes.keys));
        let next = world.now + CHANGE_INTERVAL_S * SECOND;
        world.run_until(next);
    }
    let length = (sizes.changes * CHANGE_INTERVAL_S).max(1) as f64;
    let (_, largest) = world.traffic.mean_and_largest();
    let calls = (world.platform.calls - calls) as f64;
    (calls / length, largest / length)
}

fn seconds(micros: u64) -> f64 {
    micros as f64 / SECOND as f64
}
