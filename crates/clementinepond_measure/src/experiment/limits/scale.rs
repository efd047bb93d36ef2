//! Cost of limit messages as the fleet grows, at 14 requests per second and VM.

use super::fleet::FleetSimulation;
use super::outcome::FleetOutcome;
use super::plan::{FleetPlan, SECOND};
use super::scenario::scaled_fleet;
use crate::{ExperimentReport, MeasureTable, TargetResult};

/// Bytes per second that one VM may send for control.
const BYTES_PER_SECOND_BUDGET: f64 = 12_000.0;
/// Length of the measurement of the largest fleet.
const LARGE_MEASURED_US: u64 = 4 * SECOND;
/// Warm-up of the largest fleet, which includes the wait of VMs after their start.
const LARGE_WARM_UP_US: u64 = 58 * SECOND;

/// Measures fleets of 8 and 64 VMs.
#[must_use]
pub fn run_scale(seed: u64) -> ExperimentReport {
    let small = scaled_fleet(seed, &[3, 3, 2], 5, 112);
    let middle = scaled_fleet(seed, &[16; 4], 100, 900);
    report("limits-scale", seed, vec![("8", small), ("64", middle)])
}

/// Measures a fleet of 390 VMs with 1,000 accounts and 5,500 requests per second.
#[must_use]
pub fn run_fleet(seed: u64) -> ExperimentReport {
    let mut plan = scaled_fleet(seed, &[98, 98, 97, 97], 1_000, 5_500);
    plan.warm_up = LARGE_WARM_UP_US;
    plan.length = LARGE_WARM_UP_US + LARGE_MEASURED_US;
    report("limits-fleet", seed, vec![("390", plan)])
}

fn report(name: &str, seed: u64, plans: Vec<(&'static str, FleetPlan)>) -> ExperimentReport {
    let mut report = ExperimentReport::new(name, seed);
    let mut over_limit = 0;
    for (size, plan) in plans {
        let outcome = FleetSimulation::run(plan);
        over_limit += outcome.over_limit();
        let bytes = outcome.bytes_per_vm();
        let target = format!("bytes_per_vm_{size}");
        report.targets.push(TargetResult::at_most(
            &target,
            BYTES_PER_SECOND_BUDGET,
            bytes,
        ));
        report.policies.insert(policy(size), measures(&outcome));
    }
    report.violations.insert("account_over_limit", over_limit);
    report
}

fn policy(size: &str) -> &'static str {
    match size {
        "8" => "current_8_vms",
        "64" => "current_64_vms",
        _ => "current",
    }
}

fn measures(outcome: &FleetOutcome) -> MeasureTable {
    let seconds = outcome.measured_time as f64 / 1e6;
    let messages = outcome.messages as f64 / seconds / outcome.vms.max(1) as f64;
    MeasureTable::from([
        ("bytes_per_vm", outcome.bytes_per_vm().round()),
        ("messages_per_vm", messages.round()),
        ("wrongful_refusals", outcome.wrongful_share()),
        ("wait_p99_ms", outcome.wait_p99_ms()),
    ])
}
