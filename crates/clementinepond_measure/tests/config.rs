//! Short runs of the configuration experiment, and runs with one guard off.

use clementinepond_decide::configuration::ConfigurationMutation;
use clementinepond_measure::experiment::config::{ConfigSizes, run_with};

const SHORT: ConfigSizes = ConfigSizes {
    vms: 12,
    keys: 20,
    fleets: &[8],
    changes: 1,
};

#[test]
fn a_short_run_is_sound_and_repeatable() {
    for seed in 1..=3 {
        let report = run_with(seed, SHORT, ConfigurationMutation::None);
        assert!(report.is_sound(), "seed {seed}: {:?}", report.violations);
        let met = report.targets.iter().all(|target| target.met);
        assert!(met, "seed {seed}: {:?}", report.targets);
        assert_eq!(report, run_with(seed, SHORT, ConfigurationMutation::None));
    }
}

#[test]
fn withdrawn_keys_must_be_passed_on() {
    let report = run_with(1, SHORT, ConfigurationMutation::SkipWithdrawalForwarding);
    assert!(!report.is_sound());
}
