//! Rate limit of calls.

use tokio::time::Instant;

/// Token bucket with the capacity of one second; a rate of 0 means no limit.
#[derive(Debug)]
pub(super) struct CallRateLimiter {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl CallRateLimiter {
    pub(super) fn new(per_second: u32) -> Self {
        Self {
            per_second: per_second.into(),
            tokens: per_second.into(),
            refilled_at: Instant::now(),
        }
    }

    /// Takes a token; returns false if none is available.
    pub(super) fn try_acquire(&mut self) -> bool {
        if self.per_second == 0.0 {
            return true;
        }
        let now = Instant::now();
        let refilled = (now - self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refilled).min(self.per_second);
        self.refilled_at = now;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
