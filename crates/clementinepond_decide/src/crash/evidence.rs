//! Weight of a loss as evidence against a request.
//!
//! The weight is the binary logarithm of a likelihood ratio: how much more
//! probable the loss is if the request crashes every endpoint than if it was in
//! flight by coincidence. The probability of a coincidence is the endpoint's own
//! crash rate times the run time of the request, so that the loss of an endpoint
//! that often crashes has little weight. The crash rate is estimated as one more
//! than the endpoint's known crashes, divided by `crash_interval` plus
//! `crash_window`. The weights of a request's confirmed
//! losses are added and compared with `evidence_threshold`.

use super::settings::CrashSettings;
use clementinepond_types::TimeSpan;

const MILLIBITS_PER_BIT: u64 = 1_000;
/// Lower bound for the run time, which bounds the weight of a loss.
const MIN_RUN_TIME: TimeSpan = TimeSpan::from_millis(500);

/// Returns the weight of a loss, in thousandths of a bit; 0 if a coincidence is at
/// least as probable.
pub(crate) fn loss_evidence(
    settings: &CrashSettings,
    earlier_crashes: usize,
    run_time: TimeSpan,
) -> u64 {
    let crashes = u128::try_from(earlier_crashes).unwrap_or(u128::MAX) + 1;
    let span = u128::from((settings.crash_interval + settings.crash_window).micros());
    let run = u128::from(run_time.max(MIN_RUN_TIME).micros());
    let ratio = span / (crashes.saturating_mul(run)).max(1);
    log2_millibits(u64::try_from(ratio).unwrap_or(u64::MAX))
}

/// Returns the binary logarithm in thousandths of a bit, interpolated linearly
/// between powers of two; 0 for 0.
fn log2_millibits(value: u64) -> u64 {
    let Some(exponent) = value.checked_ilog2() else {
        return 0;
    };
    let power = 1_u64 << exponent;
    let fraction = u128::from(value - power) * u128::from(MILLIBITS_PER_BIT) / u128::from(power);
    u64::from(exponent) * MILLIBITS_PER_BIT + u64::try_from(fraction).unwrap_or(0)
}
