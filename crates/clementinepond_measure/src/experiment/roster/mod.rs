//! Tests roster membership under injected faults, and measures its platform
//! calls and network traffic as the fleet grows.

mod baseline;
mod chaos;
mod ledger;
mod platform;
mod process;
mod service;
mod traffic;
mod view;
mod world;

use crate::{ExperimentReport, MeasureTable, TargetResult};
use baseline::run_baseline;
use chaos::ChaosSchedule;
use clementinepond_decide::roster::{RosterSettings, WHOLE_PARTS};
use traffic::ratio;

pub(crate) use world::{MILLISECOND, SECOND, World, WorldPlan};

/// Limit of control traffic that one VM sends and receives, in bytes per second.
const MAX_BYTES_PER_VM_S: f64 = 12_000.0;
/// Fleet sizes (data centres, VMs) at which platform calls are compared.
const FLEETS: [(usize, usize); 3] = [(4, 8), (4, 64), (4, 390)];
/// Time for a fleet to start before measurement begins, in seconds.
const STARTUP_S: u64 = 45;

/// Size and length of one run with injected faults.
#[derive(Debug, Clone, Copy)]
pub struct ChaosRun {
    /// Number of VMs, spread over three data centres.
    pub vms: usize,
    /// Mean time between faults, in seconds.
    pub mean_fault_gap: u64,
    /// Simulated length of the run, in seconds.
    pub length: u64,
}

/// Runs that make up the experiment.
#[derive(Debug, Clone, Copy)]
pub struct RosterLengths {
    /// Runs with injected faults.
    pub chaos: &'static [ChaosRun],
    /// Measured time of each run without faults, in seconds.
    pub steady: u64,
    /// Largest number of VMs in a run without faults; larger fleets are skipped.
    pub largest: usize,
}

/// Runs of the full experiment.
const FULL_LENGTHS: RosterLengths = RosterLengths {
    chaos: &[
        ChaosRun {
            vms: 8,
            mean_fault_gap: 12,
            length: 6_000,
        },
        ChaosRun {
            vms: 24,
            mean_fault_gap: 120,
            length: 6_000,
        },
        ChaosRun {
            vms: 64,
            mean_fault_gap: 12,
            length: 400,
        },
    ],
    steady: 30,
    largest: 390,
};

/// Runs the full experiment with default roster settings.
#[must_use]
pub fn run(seed: u64) -> ExperimentReport {
    run_with(seed, FULL_LENGTHS, &RosterSettings::default())
}

/// Runs the experiment with the given lengths.
///
/// The settings apply to the runs with faults only.
#[must_use]
pub fn run_with(seed: u64, lengths: RosterLengths, settings: &RosterSettings) -> ExperimentReport {
    let mut report = ExperimentReport::new("roster", seed);
    let mut current = MeasureTable::new();
    for &chaos in lengths.chaos {
        let mut plan = WorldPlan::quiet(seed ^ chaos.vms as u64, 3, chaos.vms).with_random_faults();
        plan.roster = settings.clone();
        run_chaos(plan, chaos, &mut report, &mut current);
    }
    let mut baseline = MeasureTable::new();
    for (centres, vms) in FLEETS {
        if vms <= lengths.largest {
            run_steady(
                seed,
                (centres, vms),
                lengths.steady,
                &mut current,
                &mut report,
            );
            run_baseline(seed, vms, lengths.steady, &mut baseline);
        }
    }
    report.policies.insert("baseline", baseline);
    report.policies.insert("current", current);
    report
}

/// Runs a fleet with injected faults and counts violations.
fn run_chaos(
    plan: WorldPlan,
    lengths: ChaosRun,
    report: &mut ExperimentReport,
    current: &mut MeasureTable,
) {
    let vms = plan.vms;
    let mut world = World::new(plan);
    let mut chaos = ChaosSchedule::new(lengths.mean_fault_gap * SECOND, 60 * SECOND);
    let mut used = 0;
    let mut samples = 0;
    for second in 1..=lengths.length {
        chaos.run(&mut world, second * SECOND);
        for centre in 0..world.targets.len() {
            used += u64::from(world.ledger.parts_in_use(centre, world.now));
            samples += 1;
        }
    }
    let ledger = &world.ledger;
    add(report, "parts_over_whole", ledger.over_whole);
    add(report, "parts_beyond_table", ledger.beyond_table);
    add(report, "shares_over_whole", ledger.over_fleet);
    let mean = ratio(used, samples * u64::from(WHOLE_PARTS));
    current.insert(name("parts_in_use", vms), mean);
    current.insert(name("faults", vms), chaos.faults as f64);
    let (median, largest) = median_and_largest(&world.recover_times);
    current.insert(name("parts_back_median_s", vms), median);
    current.insert(name("parts_back_largest_s", vms), largest);
    let (median, _) = median_and_largest(&world.leave_times);
    current.insert(name("leave_median_s", vms), median);
}

/// Returns the median and the largest of times in microseconds, in seconds.
fn median_and_largest(times: &[u64]) -> (f64, f64) {
    let mut times = times.to_vec();
    times.sort_unstable();
    let largest = times.last().copied().unwrap_or(0);
    let median = times.get(times.len() / 2).copied().unwrap_or(0);
    (ratio(median, SECOND), ratio(largest, SECOND))
}

fn add(report: &mut ExperimentReport, violation: &'static str, count: u64) {
    *report.violations.entry(violation).or_default() += count;
}

/// Runs a fleet without faults and measures platform calls and bytes sent.
fn run_steady(
    seed: u64,
    (centres, vms): (usize, usize),
    length: u64,
    current: &mut MeasureTable,
    report: &mut ExperimentReport,
) {
    let mut plan = WorldPlan::quiet(seed, centres, vms);
    plan.tick = 500 * MILLISECOND;
    let mut world = World::new(plan);
    world.run_until(STARTUP_S * SECOND);
    let begin_calls = world.platform.calls;
    current.insert(name("start_calls", vms), begin_calls as f64);
    world.traffic.clear();
    world.run_until((STARTUP_S + length) * SECOND);
    let calls = ratio(world.platform.calls - begin_calls, length);
    current.insert(name("platform_calls_per_s", vms), calls);
    let (mean, largest) = world.traffic.mean_and_largest();
    let seconds = length as f64;
    current.insert(name("bytes_per_vm_s_mean", vms), mean / seconds);
    current.insert(name("bytes_per_vm_s_largest", vms), largest / seconds);
    if vms == 390 {
        let eight = current
            .get("platform_calls_per_s_8")
            .copied()
            .unwrap_or(0.0);
        let growth = TargetResult::at_most(
            "platform calls a second, 390 VMs beside 8",
            eight * 1.05,
            calls,
        );
        let bytes = TargetResult::at_most(
            "bytes a second of the busiest VM at 390",
            MAX_BYTES_PER_VM_S,
            largest / seconds,
        );
        report.targets.extend([growth, bytes]);
    }
}

/// Returns the name of a measure with the fleet size appended.
fn name(measure: &'static str, vms: usize) -> &'static str {
    NAMES
        .iter()
        .find(|(found, size, _)| *found == measure && *size == vms)
        .map_or(measure, |(_, _, name)| name)
}

macro_rules! names {
    ($($measure:literal: $($size:literal),+);+ $(;)?) => {
        /// Measures, fleet sizes and the combined names.
        const NAMES: &[(&str, usize, &str)] = &[
            $($(($measure, $size, concat!($measure, "_", $size))),+),+
        ];
    };
}

names! {
    "parts_in_use": 8, 24, 64;
    "faults": 8, 24, 64;
    "parts_back_median_s": 8, 24, 64;
    "parts_back_largest_s": 8, 24, 64;
    "leave_median_s": 8, 24, 64;
    "start_calls": 8, 64, 390;
    "platform_calls_per_s": 8, 64, 390;
    "bytes_per_vm_s_mean": 8, 64, 390;
    "bytes_per_vm_s_largest": 8, 64, 390;
    "over_whole_s": 8, 64, 390;
}
