//! Prefill queue of one engine.

use clementinepond_types::LocalTime;

/// Prompt tokens that an engine processes per millisecond while it also generates;
/// scaled by each engine's measured slowdown.
pub const PREFILL_TOKENS_PER_MS: f64 = 30.0;

/// Estimate of the prompt tokens that were sent to an engine and not processed yet,
/// based on the usual prefill rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillQueue {
    tokens: f64,
    at: LocalTime,
}

impl PrefillQueue {
    /// Adds the prompt tokens of a request that is being sent.
    pub fn add(&mut self, tokens: u32, now: LocalTime) {
        self.tokens = self.waiting(now) + f64::from(tokens);
        self.at = now;
    }

    /// Returns the tokens that are still queued.
    #[must_use]
    pub fn waiting(&self, now: LocalTime) -> f64 {
        let millis = now.since(self.at).micros() as f64 / 1e3;
        (self.tokens - millis * PREFILL_TOKENS_PER_MS).max(0.0)
    }
}
