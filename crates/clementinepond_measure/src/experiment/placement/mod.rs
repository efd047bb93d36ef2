//! Experiments on model placement: attainment, moves and safety, in virtual time.
//!
//! `placement` compares policies under changing demand, `placement-recovery`
//! kills the lease holder while its moves are in progress, and
//! `placement-time` measures the planner's wall-clock time.
//! The first two share the simulator in [`fake`].

mod attainment;
pub mod fake;
mod planning_time;
mod policy;
mod recovery;
mod run_policy;
mod workload;

pub use planning_time::run_time;
pub use policy::PlacementPolicy;
pub use recovery::{ScheduleResult, run_recovery, run_schedule, run_schedules};
pub use workload::{DeploymentSize, MIZUHARA, MeasureNames, SKJABORD, TARGET};

use crate::{ExperimentReport, TargetResult};
use run_policy::{PolicyResult, count};
use std::collections::BTreeMap;
use workload::Workload;

/// Measured duration of a run after the warm-up, in seconds.
const RUN_DURATION_S: u32 = 3_600;
/// Minimum ratio of the current planner's attainment to that of the static placement.
const MIN_GAIN_OVER_STATIC: f64 = 1.3;
/// Maximum ratio of the current planner's moves to those of the greedy policy.
const MAX_MOVES_OVER_GREEDY: f64 = 0.5;

/// Runs the `placement` experiment on every deployment for 3,600 s.
#[must_use]
pub fn run(seed: u64) -> ExperimentReport {
    run_sizes(seed, &[MIZUHARA, SKJABORD, TARGET], RUN_DURATION_S)
}

/// Runs the `placement` experiment on the given deployments, for `seconds` each after the warm-up.
#[must_use]
pub fn run_sizes(seed: u64, sizes: &[DeploymentSize], seconds: u32) -> ExperimentReport {
    let mut report = ExperimentReport::new("placement", seed);
    for size in sizes {
        let workload = Workload::new(*size, seed);
        let results: BTreeMap<&'static str, PolicyResult> = PlacementPolicy::ALL
            .into_iter()
            .map(|(name, policy)| (name, run_policy::run(&workload, policy, seed, seconds)))
            .collect();
        for (policy, result) in &results {
            add_measures(&mut report, size, policy, result);
            add_violations(&mut report, size, result);
        }
        add_targets(&mut report, size, &results);
    }
    report
}

fn add_measures(
    report: &mut ExperimentReport,
    size: &DeploymentSize,
    policy: &'static str,
    result: &PolicyResult,
) {
    let measures = report.policies.entry(policy).or_default();
    measures.insert(size.measures.attainment, result.attainment);
    measures.insert(size.measures.served, result.served);
    measures.insert(size.measures.moves, result.moves);
    // Measures without a deployment prefix are sums over the deployments.
    *measures.entry("attainment_per_accelerator").or_default() += result.attainment;
    *measures.entry("moves").or_default() += result.moves;
}

fn add_violations(report: &mut ExperimentReport, size: &DeploymentSize, result: &PolicyResult) {
    let checks = result.checks;
    let store_limit = usize::try_from(size.loads_at_once).unwrap_or(usize::MAX);
    let found = [
        ("overcommitted_memory", checks.overcommitted),
        ("models_without_serving_copy", result.without_copy),
        ("last_copies_unloaded", checks.last_copies_unloaded),
        ("orders_of_old_holders", checks.stale_orders),
        (
            "store_limit_exceeded",
            u64::from(checks.max_concurrent_loads > store_limit),
        ),
    ];
    for (name, count) in found {
        *report.violations.entry(name).or_default() += count;
    }
}

fn add_targets(
    report: &mut ExperimentReport,
    size: &DeploymentSize,
    results: &BTreeMap<&'static str, PolicyResult>,
) {
    let (Some(baseline), Some(greedy), Some(current)) = (
        results.get("baseline"),
        results.get("greedy"),
        results.get("current"),
    ) else {
        return;
    };
    let name = |text: &str| format!("{} {text}", size.name);
    report.targets.extend([
        TargetResult::at_least(
            &name("attainment over static"),
            MIN_GAIN_OVER_STATIC,
            current.attainment / baseline.attainment,
        ),
        TargetResult::at_least(
            &name("attainment over greedy"),
            1.0,
            current.attainment / greedy.attainment,
        ),
        TargetResult::at_most(
            &name("moves over greedy"),
            MAX_MOVES_OVER_GREEDY,
            current.moves / greedy.moves.max(1.0),
        ),
        TargetResult::at_most(
            &name("overcommitted memory"),
            0.0,
            count(current.checks.overcommitted),
        ),
        TargetResult::at_most(
            &name("models without a serving copy"),
            0.0,
            count(current.without_copy),
        ),
    ]);
}
