//! Prompt text queued at one engine.

use clementinepond_types::LocalTime;

/// Prompt tokens that an engine reads in a millisecond between the tokens of
/// its other requests; corrected by each engine's measured pace.
pub const READ_TOKENS_PER_MS: f64 = 30.0;
/// Ranks at an engine, of the platform's interface.
const RANKS: usize = 10;

/// Prompt text that was sent to one engine and is not read yet, as far as its
/// usual speed tells. Engines read what has the lower rank first.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadQueue {
    tokens: [f32; RANKS],
    at: LocalTime,
}

impl ReadQueue {
    /// Adds the prompt text of a request that is being sent.
    pub fn add(&mut self, rank: u8, tokens: u32, now: LocalTime) {
        *self = self.drained(now);
        if let Some(queued) = self.tokens.get_mut(usize::from(rank)) {
            *queued += tokens as f32;
        }
    }

    /// Returns the tokens that are read before those of a new request.
    #[must_use]
    pub fn ahead(&self, rank: u8, now: LocalTime) -> f64 {
        let tokens = self.drained(now).tokens;
        let ahead = tokens.iter().take(usize::from(rank) + 1);
        f64::from(ahead.sum::<f32>())
    }

    fn drained(mut self, now: LocalTime) -> Self {
        let millis = now.since(self.at).micros() as f64 / 1e3;
        let mut read = (millis * READ_TOKENS_PER_MS) as f32;
        for queued in &mut self.tokens {
            let taken = read.min(*queued);
            *queued -= taken;
            read -= taken;
        }
        self.at = now;
        self
    }
}
