//! Simulation of idempotency claims: duplicate runs, platform writes and call outcomes.
//!
//! Fault-free runs compare platform writes and waits at increasing rates of
//! calls with an idempotency key. A harsh run adds lost, duplicated, delayed
//! and reordered messages, paused and restarted VMs, owner changes, partitioned
//! data centres, platform outages, and platform answers that are lost after the
//! write took effect. The baseline policy writes one object per claim.

mod baseline;
mod callers;
mod faults;
mod node;
mod platform;
pub(crate) mod queue;
mod scenario;
mod tally;
mod world;

pub use scenario::{ClaimScenario, FaultPlan};
pub use tally::ClaimTally;

use crate::{ExperimentReport, MeasureTable, TargetResult};
use clementinepond_types::TimeSpan;
use world::ClaimWorld;

/// Keyed calls per second in the fault-free runs, with the names of the measures.
const FAULT_FREE_RATES: [(u64, &str, &str, &str); 3] = [
    (
        10,
        "writes_per_second_at_10",
        "wait_ms_p50_at_10",
        "wait_ms_p99_at_10",
    ),
    (
        100,
        "writes_per_second_at_100",
        "wait_ms_p50_at_100",
        "wait_ms_p99_at_100",
    ),
    (
        1_000,
        "writes_per_second_at_1000",
        "wait_ms_p50_at_1000",
        "wait_ms_p99_at_1000",
    ),
];
/// Duration of arrivals in each fault-free run.
const FAULT_FREE_DURATION: TimeSpan = TimeSpan::from_secs(20);
/// Duration of arrivals in the harsh run.
const HARSH_DURATION: TimeSpan = TimeSpan::from_secs(200);
/// Keyed calls per second in the harsh run.
const HARSH_RATE: u64 = 40;

/// Simulates one scenario and returns its counts.
#[must_use]
pub fn simulate(scenario: ClaimScenario) -> ClaimTally {
    ClaimWorld::new(scenario).run()
}

/// Runs the experiment with the default durations.
#[must_use]
pub fn run(seed: u64) -> ExperimentReport {
    report(seed, FAULT_FREE_DURATION, HARSH_DURATION)
}

/// Runs the experiment with the given durations of arrivals.
#[must_use]
pub fn report(seed: u64, fault_free: TimeSpan, harsh: TimeSpan) -> ExperimentReport {
    let mut report = ExperimentReport::new("claims", seed);
    for (policy, is_baseline) in [("baseline", true), ("current", false)] {
        let mut measures = MeasureTable::new();
        for (rate, writes, p50, p99) in FAULT_FREE_RATES {
            let scenario = ClaimScenario {
                is_baseline,
                ..ClaimScenario::fault_free(seed, rate, fault_free)
            };
            let tally = simulate(scenario);
            measures.insert(writes, tally.writes_per_second());
            measures.insert(p50, tally.wait_ms(0.5));
            measures.insert(p99, tally.wait_ms(0.99));
            if !is_baseline {
                add_violations(&mut report, &tally);
            }
        }
        let scenario = ClaimScenario {
            is_baseline,
            ..ClaimScenario::harsh(seed, HARSH_RATE, harsh)
        };
        let tally = simulate(scenario);
        add_harsh(&mut measures, &tally);
        if !is_baseline {
            add_violations(&mut report, &tally);
            add_targets(&mut report, &measures, &tally);
        }
        report.policies.insert(policy, measures);
    }
    report
}

fn add_violations(report: &mut ExperimentReport, tally: &ClaimTally) {
    let counts = [
        ("non_idempotent_runs_beyond_one", tally.extra_runs),
        ("false_not_run", tally.false_not_run),
        ("answers_crossed", tally.crossed_answers),
        ("calls_without_end", tally.lost_calls),
        ("late_dispatches", tally.late_dispatches),
    ];
    for (name, count) in counts {
        *report.violations.entry(name).or_default() += count;
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn add_harsh(measures: &mut MeasureTable, tally: &ClaimTally) {
    measures.insert("harsh_breaches", tally.breaches() as f64);
    measures.insert("harsh_calls", tally.calls as f64);
    measures.insert("harsh_share_ran", tally.share(tally.ran));
    measures.insert("harsh_share_replayed", tally.share(tally.replayed));
    measures.insert(
        "harsh_share_answer_not_held",
        tally.share(tally.answer_not_held),
    );
    measures.insert("harsh_share_not_run", tally.share(tally.not_run));
    measures.insert("harsh_share_unknown", tally.share(tally.unknown));
    measures.insert("harsh_share_vm_lost", tally.share(tally.vm_lost));
    let keys = tally.keys.max(1) as f64;
    measures.insert("harsh_share_keys_run", tally.keys_run as f64 / keys);
    measures.insert("harsh_writes_per_second", tally.writes_per_second());
    measures.insert("harsh_wait_ms_p50", tally.wait_ms(0.5));
    measures.insert("harsh_wait_ms_p99", tally.wait_ms(0.99));
}

fn add_targets(report: &mut ExperimentReport, measures: &MeasureTable, tally: &ClaimTally) {
    let settings = ClaimScenario::fault_free(0, 1, FAULT_FREE_DURATION).settings;
    let interval = settings.commit_interval.millis().max(1);
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    let commits = f64::from(settings.shard_count) * 1_000.0 / interval as f64;
    // Each shard costs one extra write per run, when its owner takes it.
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    let bound =
        commits + f64::from(settings.shard_count) / (FAULT_FREE_DURATION.millis() as f64 / 1_000.0);
    for (rate, writes, ..) in FAULT_FREE_RATES {
        let name = format!("platform writes a second at {rate} keyed calls a second");
        let value = measures.get(writes).copied().unwrap_or_default();
        report
            .targets
            .push(TargetResult::at_most(&name, bound, value));
    }
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    let breaches = tally.breaches() as f64;
    let name = "answers lost or crossed, false not-run, runs beyond one";
    report
        .targets
        .push(TargetResult::at_most(name, 0.0, breaches));
}
