//! The experiment of the crash guard, and what happens when a guard is off.

use clementinepond_decide::crash::CrashMutation;
use clementinepond_measure::experiment::crash::{
    CrashScenario, CrashTally, GuardPolicy, report, simulate,
};
use clementinepond_types::TimeSpan;

const LENGTH: TimeSpan = TimeSpan::from_secs(45);

fn poisoned(seed: u64, mutation: CrashMutation) -> CrashTally {
    let scenario = CrashScenario::poisoned(seed, GuardPolicy::ApartArbiter, LENGTH);
    simulate(CrashScenario {
        poison_every_ms: 10_000,
        ..scenario.mutated(mutation)
    })
}

/// Connections break, but no endpoint crashes.
fn broken(seed: u64, mutation: CrashMutation) -> CrashTally {
    let scenario = CrashScenario::poisoned(seed, GuardPolicy::ApartArbiter, LENGTH);
    simulate(CrashScenario {
        poison_every_ms: 0,
        crash_every_ms: 0,
        flaky_every_ms: 0,
        break_every_ms: 40,
        ..scenario.mutated(mutation)
    })
}

#[test]
fn a_poison_request_takes_two_endpoints_at_most() {
    for seed in 0..4 {
        let tally = poisoned(seed, CrashMutation::None);
        assert!(tally.worst_poison() <= 2, "seed {seed}: {tally:?}");
        assert_eq!(tally.requests_without_end, 0, "seed {seed}");
    }
}

#[test]
fn broken_connections_condemn_nobody() {
    for seed in 0..2 {
        let tally = broken(seed, CrashMutation::None);
        assert_eq!(tally.innocents_condemned, 0, "seed {seed}: {tally:?}");
        assert!(!tally.waits.is_empty(), "seed {seed}: no run broke");
    }
}

#[test]
fn a_broken_connection_alone_must_not_count() {
    let tally = broken(0, CrashMutation::TrustBrokenStream);
    assert!(tally.innocents_condemned > 0, "{tally:?}");
}

#[test]
fn completed_runs_must_clear() {
    let condemned = |mutation| -> u64 {
        let tallies = (0..2).map(|seed| poisoned(seed, mutation));
        tallies.map(|tally| tally.innocents_condemned).sum()
    };
    let with = condemned(CrashMutation::None);
    let without = condemned(CrashMutation::KeepCleared);
    assert!(without > with, "{without} without, {with} with");
}

#[test]
fn a_report_is_sound_and_repeatable() {
    let run = || report(7, TimeSpan::from_secs(8));
    let first = run();
    assert!(first.is_sound(), "{:?}", first.violations);
    assert_eq!(
        serde_json::to_string(&first).unwrap(),
        serde_json::to_string(&run()).unwrap()
    );
}
