//! Short runs of the roster experiment, and runs with one guard off.

use clementinepond_decide::roster::{ContactRule, RosterMutation, RosterSettings};
use clementinepond_measure::ExperimentReport;
use clementinepond_measure::experiment::roster::{ChaosLength, RosterLengths, run_with};

const SHORT: RosterLengths = RosterLengths {
    chaos: &[ChaosLength {
        vms: 6,
        gap: 12,
        length: 600,
    }],
    steady: 20,
    largest: 8,
};

fn breaches(report: &ExperimentReport) -> u64 {
    report.violations.values().sum()
}

#[test]
fn a_short_run_is_sound_and_repeatable() {
    for seed in 1..=3 {
        let settings = RosterSettings::default();
        let report = run_with(seed, SHORT, &settings);
        assert!(report.is_sound(), "seed {seed}: {:?}", report.violations);
        assert_eq!(report, run_with(seed, SHORT, &settings));
    }
}

#[test]
fn the_stricter_contact_rules_are_sound() {
    for contact_rule in [ContactRule::AnyPeer, ContactRule::Majority] {
        let settings = RosterSettings {
            contact_rule,
            ..RosterSettings::default()
        };
        let report = run_with(4, SHORT, &settings);
        assert!(
            report.is_sound(),
            "{contact_rule:?}: {:?}",
            report.violations
        );
    }
}

#[test]
fn each_guard_is_needed() {
    const RUN: RosterLengths = RosterLengths {
        chaos: &[ChaosLength {
            vms: 6,
            gap: 12,
            length: 900,
        }],
        steady: 1,
        largest: 0,
    };
    let guards = [
        RosterMutation::ReleaseBeforeStop,
        RosterMutation::RemoveWithoutHoldOff,
        RosterMutation::RemoveDespiteHeartbeat,
        RosterMutation::UseAfterPause,
        RosterMutation::JoinWithoutHoldOff,
        RosterMutation::ShareBeforeStop,
    ];
    for guard in guards {
        let settings = RosterSettings {
            mutation: guard,
            ..RosterSettings::default()
        };
        let found = (1..=10).any(|seed| breaches(&run_with(seed, RUN, &settings)) > 0);
        assert!(
            found,
            "no breach without the guard that {guard:?} takes away"
        );
    }
}
