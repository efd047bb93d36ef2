//! Short runs of the crash experiment, with all rules and with one disabled.

use clementinepond_decide::crash::CrashMutation;
use clementinepond_measure::experiment::crash::{
    CrashScenario, CrashTally, GuardPolicy, report, simulate,
};
use clementinepond_types::TimeSpan;

const RUN_LENGTH: TimeSpan = TimeSpan::from_secs(45);

fn poisoned(seed: u64, mutation: CrashMutation) -> CrashTally {
    let scenario = CrashScenario::poisoned(seed, GuardPolicy::SeparateArbiter, RUN_LENGTH);
    simulate(CrashScenario {
        poison_every_ms: 10_000,
        ..scenario.mutated(mutation)
    })
}

/// Runs a scenario in which connections break but no endpoint crashes.
fn broken_connections(seed: u64, mutation: CrashMutation) -> CrashTally {
    let scenario = CrashScenario::poisoned(seed, GuardPolicy::SeparateArbiter, RUN_LENGTH);
    simulate(CrashScenario {
        poison_every_ms: 0,
        crash_every_ms: 0,
        flaky_every_ms: 0,
        break_every_ms: 40,
        ..scenario.mutated(mutation)
    })
}

#[test]
fn poison_request_crashes_at_most_two_endpoints() {
    for seed in 0..4 {
        let tally = poisoned(seed, CrashMutation::None);
        assert!(tally.max_endpoints_lost() <= 2, "seed {seed}: {tally:?}");
        assert_eq!(tally.requests_unfinished, 0, "seed {seed}");
    }
}

#[test]
fn broken_connections_block_no_innocent_body() {
    for seed in 0..2 {
        let tally = broken_connections(seed, CrashMutation::None);
        assert_eq!(tally.innocents_blocked, 0, "seed {seed}: {tally:?}");
        assert!(
            !tally.waits.is_empty(),
            "seed {seed}: no suspect run waited, expected at least one"
        );
    }
}

#[test]
fn trusting_broken_streams_blocks_innocent_bodies() {
    let tally = broken_connections(0, CrashMutation::TrustBrokenStream);
    assert!(tally.innocents_blocked > 0, "{tally:?}");
}

#[test]
fn ignoring_completed_runs_blocks_more_innocent_bodies() {
    let blocked = |mutation| -> u64 {
        let tallies = (0..2).map(|seed| poisoned(seed, mutation));
        tallies.map(|tally| tally.innocents_blocked).sum()
    };
    let with = blocked(CrashMutation::None);
    let without = blocked(CrashMutation::KeepCleared);
    assert!(
        without > with,
        "{without} bodies blocked without clearing, {with} with it; expected more without"
    );
}

#[test]
fn report_has_no_violations_and_is_deterministic() {
    let run = || report(7, TimeSpan::from_secs(8));
    let first = run();
    assert!(first.is_sound(), "{:?}", first.violations);
    assert_eq!(
        serde_json::to_string(&first).unwrap(),
        serde_json::to_string(&run()).unwrap()
    );
}
