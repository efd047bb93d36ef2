//! The routing experiment on a small fleet.

use clementinepond_measure::experiment::routing::run_short;

#[test]
fn a_short_run_is_sound_and_repeatable() {
    let report = run_short(1);
    assert!(report.is_sound(), "{:?}", report.violations);
    assert_eq!(report, run_short(1));
}
