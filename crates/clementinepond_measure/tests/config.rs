//! Short runs of the configuration experiment, with all guards and with one disabled.

use clementinepond_decide::configuration::ConfigurationMutation;
use clementinepond_measure::experiment::config::{ConfigSizes, run_with};

const SHORT_SIZES: ConfigSizes = ConfigSizes {
    vms: 12,
    keys: 20,
    fleets: &[8],
    changes: 1,
};

#[test]
fn short_run_is_sound_and_reproducible() {
    for seed in 1..=3 {
        let report = run_with(seed, SHORT_SIZES, ConfigurationMutation::None);
        assert!(report.is_sound(), "seed {seed}: {:?}", report.violations);
        let met = report.targets.iter().all(|target| target.met);
        assert!(met, "seed {seed}: {:?}", report.targets);
        assert_eq!(
            report,
            run_with(seed, SHORT_SIZES, ConfigurationMutation::None)
        );
    }
}

#[test]
fn unforwarded_withdrawal_is_unsound() {
    let report = run_with(
        1,
        SHORT_SIZES,
        ConfigurationMutation::SkipWithdrawalForwarding,
    );
    assert!(!report.is_sound());
}
