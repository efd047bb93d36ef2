//! Measures the crash guard: endpoints lost to a poison request, and innocent
//! requests refused.
//!
//! A poison request crashes the endpoint that runs it; an innocent request does
//! not. Each poison request is sent 20 times, every time through a random VM,
//! alongside heavy innocent load, endpoints that crash spontaneously (one of
//! them often) and broken connections. A VM runs a request up to 3 times if its
//! connections break. A second run adds data centres that are cut off.

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

/// Simulated length of one run.
const RUN_LENGTH: TimeSpan = TimeSpan::from_secs(400);
/// Target: endpoints that one poison request may crash at most.
const MAX_ENDPOINTS_LOST: f64 = 2.0;
/// Target: share of innocent requests that may be refused at most.
const MAX_REFUSED_SHARE: f64 = 0.001;

/// Policies of the report; the baseline has no guard.
const POLICIES: [(&str, GuardPolicy); 6] = [
    ("baseline", GuardPolicy::Unguarded),
    ("count_alone", GuardPolicy::CountLocal),
    ("count_shared", GuardPolicy::CountShared),
    ("apart_broadcast", GuardPolicy::SeparateBroadcast),
    ("current", GuardPolicy::SeparateArbiter),
    ("likelihood", GuardPolicy::Likelihood),
];

/// Simulates one scenario.
#[must_use]
pub fn simulate(scenario: CrashScenario) -> CrashTally {
    CrashWorld::new(scenario).run()
}

/// Runs the experiment at full length.
#[must_use]
pub fn run(seed: u64) -> ExperimentReport {
    report(seed, RUN_LENGTH)
}

/// Runs the experiment with a given simulated length of each run.
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
    measures.insert(
        "endpoints_lost_worst_poison",
        plain.max_endpoints_lost() as f64,
    );
    measures.insert("endpoints_lost_mean_poison", plain.mean_endpoints_lost());
    measures.insert("poison_requests", plain.lost_by_poison.len() as f64);
    measures.insert("own_crashes", plain.own_crashes as f64);
    measures.insert("innocents", plain.innocents as f64);
    measures.insert(
        "innocents_refused_share",
        plain.share(plain.innocents_refused),
    );
    measures.insert(
        "innocents_crowded_share",
        plain.share(plain.innocents_overloaded),
    );
    measures.insert(
        "innocents_failed_share",
        plain.share(plain.innocents_failed),
    );
    measures.insert("innocents_condemned", plain.innocents_blocked as f64);
    measures.insert("suspects_delayed", plain.waits.len() as f64);
    measures.insert("suspect_wait_ms_p50", plain.wait_ms(50));
    measures.insert("suspect_wait_ms_p99", plain.wait_ms(99));
    measures.insert("messages", plain.messages as f64);
    measures.insert(
        "cut_endpoints_lost_worst_poison",
        cut.max_endpoints_lost() as f64,
    );
    measures.insert(
        "cut_innocents_refused_share",
        cut.share(cut.innocents_refused),
    );
    measures.insert(
        "cut_innocents_crowded_share",
        cut.share(cut.innocents_overloaded),
    );
    measures.insert(
        "cut_innocents_failed_share",
        cut.share(cut.innocents_failed),
    );
    measures
}

#[expect(clippy::cast_precision_loss, reason = "counts are small")]
fn add_targets(report: &mut ExperimentReport, plain: &CrashTally, cut: &CrashTally) {
    let unfinished = plain.requests_unfinished + cut.requests_unfinished;
    report.violations.insert("requests_without_end", unfinished);
    let refused =
        |tally: &CrashTally| tally.share(tally.innocents_refused + tally.innocents_overloaded);
    let targets = [
        (
            "endpoints lost for one poison request",
            MAX_ENDPOINTS_LOST,
            plain.max_endpoints_lost() as f64,
        ),
        (
            "share of innocent requests refused",
            MAX_REFUSED_SHARE,
            refused(plain),
        ),
        (
            "endpoints lost for one poison request, data centres cut",
            MAX_ENDPOINTS_LOST,
            cut.max_endpoints_lost() as f64,
        ),
        (
            "share of innocent requests refused, data centres cut",
            MAX_REFUSED_SHARE,
            refused(cut),
        ),
    ];
    for (name, bound, value) in targets {
        report
            .targets
            .push(TargetResult::at_most(name, bound, value));
    }
}
