//! Prefill queue of one engine.

use clementinepond_types::LocalTime;

/// Prompt tokens that an engine processes per millisecond while it also generates.
/// Predictions of the first token scale the resulting time by the engine's measured
/// slowdown; the queue estimate does not.
pub const PREFILL_TOKENS_PER_MS: f64 = 30.0;

/// Estimate of the prompt tokens that were sent to an engine and not processed yet,
/// which falls at the rate of [`PREFILL_TOKENS_PER_MS`].
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillQueue {
    tokens: f64,
    updated_at: LocalTime,
}

impl PrefillQueue {
    /// Adds the prompt tokens of a request that is being sent.
    pub fn add(&mut self, tokens: u32, now: LocalTime) {
        self.tokens = self.waiting(now) + f64::from(tokens);
        self.updated_at = now;
    }

    /// Returns the tokens that are still queued.
    #[must_use]
    pub fn waiting(&self, now: LocalTime) -> f64 {
        let millis = now.since(self.updated_at).micros() as f64 / 1e3;
        (self.tokens - millis * PREFILL_TOKENS_PER_MS).max(0.0)
    }
}
