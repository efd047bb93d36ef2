//! Placement: attainment, moves and safety of the plan, in virtual time.
//!
//! Three experiments share the fakes: `placement` compares policies while
//! demand moves, `placement-recovery` kills the holder in the middle of its
//! moves, and `placement-time` measures the planner's processor time.

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

/// Length of a run, in seconds.
const RUN_S: u32 = 3_600;
/// Smallest attainment, as a multiple of the static placement's.
const GAIN_OVER_STATIC: f64 = 1.3;
/// Largest part of the greedy planner's moves.
const MOVES_OF_GREEDY: f64 = 0.5;

/// Runs the experiment.
#[must_use]
pub fn run(seed: u64) -> ExperimentReport {
    run_sizes(seed, &[MIZUHARA, SKJABORD, TARGET], RUN_S)
}

/// Runs the experiment on some deployments, for some seconds each.
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
    // The plain names hold the sum over the deployments.
    *measures.entry("attainment_per_accelerator").or_default() += result.attainment;
    *measures.entry("moves").or_default() += result.moves;
}

fn add_violations(report: &mut ExperimentReport, size: &DeploymentSize, result: &PolicyResult) {
    let checks = result.checks;
    let at_once = usize::try_from(size.loads_at_once).unwrap_or(usize::MAX);
    let found = [
        ("overcommitted_memory", checks.overcommitted),
        ("models_without_serving_copy", result.without_copy),
        ("last_copies_unloaded", checks.last_copies_unloaded),
        ("orders_of_old_holders", checks.old_orders),
        (
            "store_limit_exceeded",
            u64::from(checks.most_loads > at_once),
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
    let (Some(fixed), Some(greedy), Some(current)) = (
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
            GAIN_OVER_STATIC,
            current.attainment / fixed.attainment,
        ),
        TargetResult::at_least(
            &name("attainment over greedy"),
            1.0,
            current.attainment / greedy.attainment,
        ),
        TargetResult::at_most(
            &name("moves over greedy"),
            MOVES_OF_GREEDY,
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

#[doc(hidden)]
pub fn run_some(
    size: &DeploymentSize,
    seed: u64,
    only: Option<&str>,
) -> Vec<(&'static str, f64, f64, f64)> {
    let workload = Workload::new(*size, seed);
    PlacementPolicy::ALL
        .into_iter()
        .filter(|(n, _)| only.is_none_or(|o| o == *n))
        .map(|(n, p)| {
            let r = run_policy::run(&workload, p, seed, RUN_S);
            (n, r.attainment, r.served, r.moves)
        })
        .collect()
}
