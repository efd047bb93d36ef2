//! Weight of a loss as evidence against a request.
//!
//! The likelihood ratio of a loss compares a request that crashes every
//! endpoint with one that was there by chance. The chance is the endpoint's
//! own crash rate times the time that the request had run, so that a loss of
//! an endpoint that often crashes weighs little. Logarithms add up over
//! losses; the sum is compared with the threshold after each.

use super::settings::CrashSettings;
use clementinepond_types::TimeSpan;

/// Thousandths of a bit in one bit.
const MILLIBITS_PER_BIT: u64 = 1_000;
/// Shortest run that is assumed.
const SHORTEST_RUN: TimeSpan = TimeSpan::from_millis(500);

/// Returns the weight of a loss, in thousandths of a bit.
pub(crate) fn loss_evidence(
    settings: &CrashSettings,
    earlier_crashes: usize,
    run_time: TimeSpan,
) -> u64 {
    let crashes = u128::try_from(earlier_crashes).unwrap_or(u128::MAX) + 1;
    let span = u128::from((settings.crash_interval + settings.crash_window).micros());
    let run = u128::from(run_time.max(SHORTEST_RUN).micros());
    let inverse = span / (crashes.saturating_mul(run)).max(1);
    log2_millibits(u64::try_from(inverse).unwrap_or(u64::MAX))
}

/// Returns the binary logarithm, linear between powers of two.
fn log2_millibits(value: u64) -> u64 {
    let Some(whole) = value.checked_ilog2() else {
        return 0;
    };
    let power = 1_u64 << whole;
    let rest = u128::from(value - power) * u128::from(MILLIBITS_PER_BIT) / u128::from(power);
    u64::from(whole) * MILLIBITS_PER_BIT + u64::try_from(rest).unwrap_or(0)
}
