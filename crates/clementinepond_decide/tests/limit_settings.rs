//! Lives of grants, on which the roster's hold-off rests.

use clementinepond_decide::limit::LimitSettings;
use clementinepond_types::TimeSpan;

#[test]
fn no_grant_outlives_its_limit_however_large_the_data_centre() {
    let settings = LimitSettings {
        grant_limit: TimeSpan::from_secs(20),
        ..LimitSettings::default()
    };
    for members in [1, 8, 98, 390, 100_000] {
        assert!(settings.loan_span(members) <= TimeSpan::from_secs(20));
    }
}
