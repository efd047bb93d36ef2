//! Limit on calls a second.

use tokio::time::Instant;

/// Token bucket that holds one second's worth of calls.
#[derive(Debug)]
pub(super) struct CallRate {
    per_second: f64,
    left: f64,
    filled_at: Instant,
}

impl CallRate {
    pub(super) fn new(per_second: u32) -> Self {
        Self {
            per_second: per_second.into(),
            left: per_second.into(),
            filled_at: Instant::now(),
        }
    }

    /// Takes one call, or refuses it.
    pub(super) fn take(&mut self) -> bool {
        if self.per_second == 0.0 {
            return true;
        }
        let now = Instant::now();
        let gained = (now - self.filled_at).as_secs_f64() * self.per_second;
        self.left = (self.left + gained).min(self.per_second);
        self.filled_at = now;
        let enough = self.left >= 1.0;
        if enough {
            self.left -= 1.0;
        }
        enough
    }
}
