//! One account's bucket as one VM sees it.

use clementinepond_types::{LocalTime, TimeSpan};

/// Refill that peers' use may take in advance, in seconds; bounds how long an
/// account is refused after a partition heals.
const MAX_DEBT_S: f64 = 10.0;

/// Bucket of one account; units are those of the account's quota.
#[derive(Debug, Clone)]
pub struct AccountBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    filled_at: LocalTime,
}

impl AccountBucket {
    /// Makes a full bucket.
    #[must_use]
    pub const fn new(rate_per_s: f64, burst: f64, now: LocalTime) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            filled_at: now,
        }
    }

    /// Applies a changed rate and burst; units already spent stay spent.
    pub fn set_quota(&mut self, rate_per_s: f64, burst: f64) {
        if self.rate_per_s == rate_per_s && self.burst == burst {
            return;
        }
        let spent = self.burst - self.level;
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = burst - spent.min(burst);
    }

    /// Returns the burst.
    #[must_use]
    pub const fn burst(&self) -> f64 {
        self.burst
    }

    /// Refills up to `now` with the part of the rate that this VM may count on.
    pub fn refill(&mut self, share: f64, now: LocalTime) {
        let passed = now.since(self.filled_at).micros() as f64 / 1e6;
        self.filled_at = now;
        self.level = (self.level + passed * self.rate_per_s * share).min(self.burst);
    }

    /// Takes units that may run now; refuses when the bucket lacks them.
    ///
    /// A request larger than the whole burst passes when the bucket is full.
    pub fn take(&mut self, units: f64) -> bool {
        if self.level < units.min(self.burst) {
            return false;
        }
        self.level -= units;
        true
    }

    /// Counts units that ran at another VM.
    pub fn take_remote(&mut self, units: f64) {
        let debt_limit = self.burst + self.rate_per_s * MAX_DEBT_S;
        self.level = (self.level - units).max(-debt_limit);
    }

    /// Gives back units of a request that did not run.
    pub fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.burst);
    }

    /// Lowers the level to that of a peer that has watched for longer.
    pub fn lower_to(&mut self, level: f64) {
        self.level = self.level.min(level);
    }

    /// Returns the level.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// Returns the time until `units` will be there.
    #[must_use]
    pub fn time_until(&self, units: f64) -> TimeSpan {
        let missing = units.min(self.burst) - self.level;
        if missing <= 0.0 || self.rate_per_s <= 0.0 {
            return TimeSpan::ZERO;
        }
        TimeSpan::from_millis((missing / self.rate_per_s * 1e3).ceil() as u64)
    }
}
