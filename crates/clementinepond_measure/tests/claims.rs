//! The experiment of claims, and what happens when a guard is off.

use clementinepond_decide::claim::ClaimMutation;
use clementinepond_measure::experiment::claims::{ClaimScenario, ClaimTally, report, simulate};
use clementinepond_types::TimeSpan;

const HARSH_LENGTH: TimeSpan = TimeSpan::from_secs(20);
const HARSH_RATE: u64 = 25;
const TIGHT_LENGTH: TimeSpan = TimeSpan::from_secs(25);
const TIGHT_RATE: u64 = 40;

fn harsh(seed: u64, mutation: ClaimMutation) -> ClaimTally {
    simulate(ClaimScenario::harsh(seed, HARSH_RATE, HARSH_LENGTH).mutated(mutation))
}

fn tight(seed: u64, mutation: ClaimMutation) -> ClaimTally {
    simulate(ClaimScenario::tight(seed, TIGHT_RATE, TIGHT_LENGTH).mutated(mutation))
}

#[test]
fn faults_break_no_must_hold() {
    for seed in 0..4 {
        let tally = harsh(seed, ClaimMutation::None);
        assert_eq!(tally.breaches(), 0, "seed {seed}: {tally:?}");
        assert!(tally.ran > 100, "seed {seed}: {tally:?}");
    }
}

#[test]
fn full_shards_and_old_keys_break_no_must_hold() {
    for seed in 0..3 {
        let tally = tight(seed, ClaimMutation::None);
        assert_eq!(tally.breaches(), 0, "seed {seed}: {tally:?}");
        assert!(tally.refusals.contains_key("Full"), "{tally:?}");
        assert!(tally.refusals.contains_key("KeyTooOld"), "{tally:?}");
    }
}

#[test]
fn every_guard_against_faults_is_needed() {
    for mutation in [
        ClaimMutation::SkipCollect,
        ClaimMutation::ForgetUnreportedRun,
        ClaimMutation::ReleaseAnyHolder,
        ClaimMutation::GrantClosedTicket,
        ClaimMutation::TrustUnknownStore,
    ] {
        let is_noticed = (0..6).any(|seed| harsh(seed, mutation).breaches() > 0);
        assert!(is_noticed, "{mutation:?} went unnoticed");
    }
}

#[test]
fn every_guard_of_retention_is_needed() {
    for mutation in [ClaimMutation::ForgetWhenFull, ClaimMutation::AcceptOldKey] {
        let is_noticed = (0..3).any(|seed| tight(seed, mutation).breaches() > 0);
        assert!(is_noticed, "{mutation:?} went unnoticed");
    }
}

#[test]
fn a_report_is_sound_and_repeatable() {
    let run = || report(7, TimeSpan::from_secs(2), TimeSpan::from_secs(5));
    let first = run();
    assert!(first.is_sound(), "{:?}", first.violations);
    assert_eq!(
        serde_json::to_string(&first).unwrap(),
        serde_json::to_string(&run()).unwrap()
    );
}
