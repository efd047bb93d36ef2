//! Short runs of the roster experiment, with all safety rules and with one disabled.

use clementinepond_decide::roster::{ContactRule, RosterMutation, RosterSettings};
use clementinepond_measure::ExperimentReport;
use clementinepond_measure::experiment::roster::{ChaosRun, RosterLengths, run_with};

const SHORT: RosterLengths = RosterLengths {
    chaos: &[ChaosRun {
        vms: 6,
        mean_fault_gap: 12,
        length: 600,
    }],
    steady: 20,
    largest: 8,
};

fn violation_count(report: &ExperimentReport) -> u64 {
    report.violations.values().sum()
}

#[test]
fn short_run_has_no_violations_and_is_deterministic() {
    for seed in 1..=3 {
        let settings = RosterSettings::default();
        let report = run_with(seed, SHORT, &settings);
        assert!(report.is_sound(), "seed {seed}: {:?}", report.violations);
        assert_eq!(report, run_with(seed, SHORT, &settings));
    }
}

#[test]
fn stricter_contact_rules_have_no_violations() {
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
fn disabling_any_safety_rule_causes_violations() {
    const RUN: RosterLengths = RosterLengths {
        chaos: &[ChaosRun {
            vms: 6,
            mean_fault_gap: 12,
            length: 900,
        }],
        steady: 1,
        largest: 0,
    };
    let mutations = [
        RosterMutation::ReleaseBeforeStop,
        RosterMutation::RemoveWithoutHoldOff,
        RosterMutation::RemoveDespiteHeartbeat,
        RosterMutation::UseAfterPause,
        RosterMutation::JoinWithoutHoldOff,
        RosterMutation::ShareBeforeStop,
    ];
    for mutation in mutations {
        let settings = RosterSettings {
            mutation,
            ..RosterSettings::default()
        };
        let found = (1..=10).any(|seed| violation_count(&run_with(seed, RUN, &settings)) > 0);
        assert!(
            found,
            "no violation in seeds 1 to 10 with mutation {mutation:?}; expected at least one"
        );
    }
}
