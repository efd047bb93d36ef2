//! Probabilities and bounds of injected faults.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Probability of each fault per occasion, and bounds of the delays.
#[derive(Debug, Clone, Copy, Default)]
pub struct FaultRates {
    /// Probability that a copy of an order is lost.
    pub order_lost: f64,
    /// Probability that an order is sent twice.
    pub order_duplicated: f64,
    /// Probability that a copy of an order is sent with a delay.
    pub order_delayed: f64,
    /// Probability that a report is lost on its way to one VM.
    pub report_lost: f64,
    /// Maximum delay of a report, in microseconds.
    pub report_lag_us: u64,
    /// Probability that a call to the platform gets no answer; half of such
    /// writes still take effect.
    pub answer_lost: f64,
    /// Probability that a VM pauses between a decision and its effects.
    pub pause: f64,
    /// Maximum pause, in microseconds.
    pub pause_us: u64,
    /// Probability that an endpoint restarts at each of its reports.
    pub restart: f64,
}

/// Returns whether an event of the given probability happens.
pub(super) fn happens(rng: &mut ChaCha8Rng, probability: f64) -> bool {
    probability > 0.0 && rng.random_bool(probability)
}

/// Returns a random time from zero to `bound_us`, inclusive, in microseconds.
pub(super) fn random_up_to(rng: &mut ChaCha8Rng, bound_us: u64) -> u64 {
    rng.random_range(0..=bound_us)
}
