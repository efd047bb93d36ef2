//! Prompt text queued at one engine.

use clementinepond_types::LocalTime;

/// Prompt tokens that an engine reads in a millisecond between the tokens of
/// its other requests; corrected by each engine's measured pace.
pub const PREFILL_TOKENS_PER_MS: f64 = 30.0;

/// Prompt text that was sent to one engine and is not read yet, as far as its
/// usual speed tells.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefillQueue {
    tokens: f64,
    at: LocalTime,
}

impl PrefillQueue {
    /// Adds the prompt text of a request that is being sent.
    pub fn add(&mut self, tokens: u32, now: LocalTime) {
        self.tokens = self.waiting(now) + f64::from(tokens);
        self.at = now;
    }

    /// Returns the tokens that still wait to be read.
    #[must_use]
    pub fn waiting(&self, now: LocalTime) -> f64 {
        let millis = now.since(self.at).micros() as f64 / 1e3;
        (self.tokens - millis * PREFILL_TOKENS_PER_MS).max(0.0)
    }
}
