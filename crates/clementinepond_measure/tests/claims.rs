//! Invariants of the claims experiment, and detection of each disabled guard.

use clementinepond_decide::claim::ClaimMutation;
use clementinepond_measure::experiment::claims::{ClaimScenario, ClaimTally, report, simulate};
use clementinepond_types::TimeSpan;

const HARSH_DURATION: TimeSpan = TimeSpan::from_secs(20);
const HARSH_RATE: u64 = 25;
const SMALL_LIMITS_DURATION: TimeSpan = TimeSpan::from_secs(25);
const SMALL_LIMITS_RATE: u64 = 40;

fn harsh(seed: u64, mutation: ClaimMutation) -> ClaimTally {
    simulate(ClaimScenario::harsh(seed, HARSH_RATE, HARSH_DURATION).mutated(mutation))
}

fn small_limits(seed: u64, mutation: ClaimMutation) -> ClaimTally {
    simulate(
        ClaimScenario::small_limits(seed, SMALL_LIMITS_RATE, SMALL_LIMITS_DURATION)
            .mutated(mutation),
    )
}

#[test]
fn faults_violate_no_invariant() {
    for seed in 0..4 {
        let tally = harsh(seed, ClaimMutation::None);
        assert_eq!(tally.breaches(), 0, "seed {seed}: {tally:?}");
        assert!(tally.ran > 100, "seed {seed}: {tally:?}");
    }
}

#[test]
fn full_shards_and_old_keys_violate_no_invariant() {
    for seed in 0..3 {
        let tally = small_limits(seed, ClaimMutation::None);
        assert_eq!(tally.breaches(), 0, "seed {seed}: {tally:?}");
        assert!(tally.refusals.contains_key("Full"), "{tally:?}");
        assert!(tally.refusals.contains_key("KeyTooOld"), "{tally:?}");
    }
}

#[test]
fn disabled_fault_guard_is_detected() {
    for mutation in [
        ClaimMutation::SkipCollect,
        ClaimMutation::ForgetUnreportedRun,
        ClaimMutation::ReleaseAnyHolder,
        ClaimMutation::GrantClosedTicket,
        ClaimMutation::TrustUnknownStore,
    ] {
        let is_detected = (0..6).any(|seed| harsh(seed, mutation).breaches() > 0);
        assert!(
            is_detected,
            "disabling a guard with {mutation:?} caused no violation"
        );
    }
}

#[test]
fn disabled_retention_guard_is_detected() {
    for mutation in [ClaimMutation::ForgetWhenFull, ClaimMutation::AcceptOldKey] {
        let is_detected = (0..3).any(|seed| small_limits(seed, mutation).breaches() > 0);
        assert!(
            is_detected,
            "disabling a guard with {mutation:?} caused no violation"
        );
    }
}

#[test]
fn report_is_sound_and_reproducible() {
    let run = || report(7, TimeSpan::from_secs(2), TimeSpan::from_secs(5));
    let first = run();
    assert!(first.is_sound(), "{:?}", first.violations);
    assert_eq!(
        serde_json::to_string(&first).unwrap(),
        serde_json::to_string(&run()).unwrap()
    );
}
