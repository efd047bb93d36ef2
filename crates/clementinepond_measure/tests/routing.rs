//! Routing experiment on a small fleet.

use clementinepond_measure::experiment::routing::run_short;

#[test]
fn short_run_has_no_violations_and_is_reproducible() {
    let report = run_short(1);
    assert!(report.is_sound(), "{:?}", report.violations);
    assert_eq!(report, run_short(1));
}
