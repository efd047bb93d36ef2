//! Crash guard: endpoints lost to a poison request, and innocents refused.
//!
//! Poison requests are each sent 20 times through any VM, beside heavy
//! innocent load, endpoints that crash by themselves (one of them often) and
//! broken connections. VMs run a broken request up to three times. A second
//! run adds cut data centres.

mod callers;
mod endpoints;
mod scenario;
mod tally;
mod world;

pub use scenario::{CrashScenario, GuardPolicy};
pub use tally::CrashTally;

use crate::{ExperimentReport, MeasureTable, TargetResult};
use clementinepond_types::TimeSpan;
use world::CrashWorld;

/// Length of one run.
const LENGTH: TimeSpan = TimeSpan::from_secs(600);
/// Most endpoints that one poison request may take.
const POISON_BOUND: f64 = 2.0;
/// Largest share of innocent requests that may be refused.
const REFUSAL_BOUND: f64 = 0.001;

/// Policies of the report. The baseline has no guard.
const POLICIES: [(&str, GuardPolicy); 6] = [
    ("baseline", GuardPolicy::Unguarded),
    ("count_alone", GuardPolicy::CountAlone),
    ("count_shared", GuardPolicy::CountShared),
    ("apart_broadcast", GuardPolicy::ApartBroadcast),
    ("current", GuardPolicy::ApartArbiter),
    ("likelihood", GuardPolicy::Likelihood),
];

/// Runs one scenario.
#[must_use]
pub fn simulate(scenario: CrashScenario) -> CrashTally {
    CrashWorld::new(scenario).run()
}

/// Runs the experiment.
#[must_use]
pub fn run(seed: u64) -> ExperimentReport {
    report(seed, LENGTH)
}

/// Runs the experiment with a given length.
#[must_use]
pub fn report(seed: u64, length: TimeSpan) -> ExperimentReport {
    let mut report = ExperimentReport::new("crash", seed);
    for (name, policy) in POLICIES {
        let plain = simulate(CrashScenario::poisoned(seed, policy, length));
        let cut = simulate(CrashScenario::poisoned(seed, policy, length).cut());
        if name == "current" {
            add_targets(&mut report, &plain, &cut);
        }
        report.policies.insert(name, measures(&plain, &cut));
    }
    report
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn measures(plain: &CrashTally, cut: &CrashTally) -> MeasureTable {
    let mut measures = MeasureTable::new();
    measures.insert("endpoints_lost_worst_poison", plain.worst_poison() as f64);
    measures.insert("endpoints_lost_mean_poison", plain.mean_poison());
    measures.insert("poison_requests", plain.lost_by_poison.len() as f64);
    measures.insert("own_crashes", plain.own_crashes as f64);
    measures.insert("innocents", plain.innocents as f64);
    measures.insert(
        "innocents_refused_share",
        plain.share(plain.innocents_refused),
    );
    measures.insert(
        "innocents_crowded_share",
        plain.share(plain.innocents_crowded),
    );
    measures.insert(
        "innocents_failed_share",
        plain.share(plain.innocents_failed),
    );
    measures.insert("innocents_condemned", plain.innocents_condemned as f64);
    measures.insert("suspects_delayed", plain.waits.len() as f64);
    measures.insert("suspect_wait_ms_p50", plain.wait_ms(50));
    measures.insert("suspect_wait_ms_p99", plain.wait_ms(99));
    measures.insert("messages", plain.messages as f64);
    measures.insert("cut_endpoints_lost_worst_poison", cut.worst_poison() as f64);
    measures.insert(
        "cut_innocents_refused_share",
        cut.share(cut.innocents_refused),
    );
    measures.insert(
        "cut_innocents_crowded_share",
        cut.share(cut.innocents_crowded),
    );
    measures.insert(
        "cut_innocents_failed_share",
        cut.share(cut.innocents_failed),
    );
    measures
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn add_targets(report: &mut ExperimentReport, plain: &CrashTally, cut: &CrashTally) {
    let without_end = plain.requests_without_end + cut.requests_without_end;
    report
        .violations
        .insert("requests_without_end", without_end);
    let refused =
        |tally: &CrashTally| tally.share(tally.innocents_refused + tally.innocents_crowded);
    let targets = [
        (
            "endpoints lost for one poison request",
            POISON_BOUND,
            plain.worst_poison() as f64,
        ),
        (
            "share of innocent requests refused",
            REFUSAL_BOUND,
            refused(plain),
        ),
        (
            "endpoints lost for one poison request, data centres cut",
            POISON_BOUND,
            cut.worst_poison() as f64,
        ),
        (
            "share of innocent requests refused, data centres cut",
            REFUSAL_BOUND,
            refused(cut),
        ),
    ];
    for (name, bound, value) in targets {
        report
            .targets
            .push(TargetResult::at_most(name, bound, value));
    }
}
