//! Tests of grant lifetimes, which bound the roster's hold-off.

use clementinepond_decide::limit::LimitSettings;
use clementinepond_types::TimeSpan;

#[test]
fn part_loan_lifetime_stays_within_limit_for_any_member_count() {
    let settings = LimitSettings {
        grant_limit: TimeSpan::from_secs(20),
        ..LimitSettings::default()
    };
    for members in [1, 8, 98, 390, 100_000] {
        assert!(settings.part_loan_lifetime(members) <= TimeSpan::from_secs(20));
    }
}
