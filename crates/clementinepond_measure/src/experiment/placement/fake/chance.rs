//! How often things go wrong.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// How often things go wrong, as probabilities of one occasion.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    /// An order is lost.
    pub order_lost: f64,
    /// An order is sent twice.
    pub order_doubled: f64,
    /// An order leaves late.
    pub order_late: f64,
    /// A report is lost.
    pub report_lost: f64,
    /// Largest lag of a report, in microseconds.
    pub report_lag_us: u64,
    /// A call to the platform gets no answer; half of them take effect.
    pub answer_lost: f64,
    /// A VM pauses between a decision and its effects.
    pub pause: f64,
    /// Longest pause, in microseconds.
    pub pause_us: u64,
    /// An endpoint restarts, for each of its reports.
    pub restart: f64,
}

/// Draws whether something happens.
pub(super) fn happens(rng: &mut ChaCha8Rng, probability: f64) -> bool {
    probability > 0.0 && rng.random_bool(probability)
}

/// Draws a time up to a bound.
pub(super) fn up_to(rng: &mut ChaCha8Rng, bound_us: u64) -> u64 {
    rng.random_range(0..=bound_us)
}
