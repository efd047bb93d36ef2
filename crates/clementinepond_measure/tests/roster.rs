//! Short runs of the roster experiment, and runs with one guard off.

use clementinepond_decide::roster::RosterMutation;
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
        let report = run_with(seed, SHORT, RosterMutation::None);
        assert!(report.is_sound(), "seed {seed}: {:?}", report.violations);
        assert_eq!(report, run_with(seed, SHORT, RosterMutation::None));
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
        let found = (1..=10).any(|seed| breaches(&run_with(seed, RUN, guard)) > 0);
        assert!(
            found,
            "no breach without the guard that {guard:?} takes away"
        );
    }
}
