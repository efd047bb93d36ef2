//! Token bucket of one account, as one VM sees it.

use clementinepond_types::{LocalTime, TimeSpan};

/// Largest debt from usage at peers beyond one burst, in seconds of refill; bounds how
/// long an account is refused after a partition heals.
const MAX_DEBT_S: f64 = 10.0;

/// Token bucket of one account, in the units of its quota.
#[derive(Debug, Clone)]
pub struct AccountBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    filled_at: LocalTime,
}

impl AccountBucket {
    /// Creates a full bucket.
    #[must_use]
    pub const fn new(rate_per_s: f64, burst: f64, now: LocalTime) -> Self {
        Self {
            rate_per_s,
            burst,
            level: burst,
            filled_at: now,
        }
    }

    /// Sets the rate and burst; units already spent remain spent, up to the new burst.
    pub fn set_quota(&mut self, rate_per_s: f64, burst: f64) {
        if self.rate_per_s == rate_per_s && self.burst == burst {
            return;
        }
        let spent = self.burst - self.level;
        self.rate_per_s = rate_per_s;
        self.burst = burst;
        self.level = burst - spent.min(burst);
    }

    /// Returns the burst, in units.
    #[must_use]
    pub const fn burst(&self) -> f64 {
        self.burst
    }

    /// Refills the bucket up to `now` with a share of the rate.
    pub fn refill(&mut self, share: f64, now: LocalTime) {
        let seconds = now.since(self.filled_at).micros() as f64 / 1e6;
        self.filled_at = now;
        self.level = (self.level + seconds * self.rate_per_s * share).min(self.burst);
    }

    /// Takes units if the bucket holds them; returns whether it did.
    ///
    /// A request larger than the burst is admitted when the bucket is full.
    pub fn take(&mut self, units: f64) -> bool {
        if self.level < units.min(self.burst) {
            return false;
        }
        self.level -= units;
        true
    }

    /// Takes units that a peer has admitted; the level may fall below zero.
    pub fn take_remote(&mut self, units: f64) {
        let debt_limit = self.burst + self.rate_per_s * MAX_DEBT_S;
        self.level = (self.level - units).max(-debt_limit);
    }

    /// Puts back the units of a request that did not run.
    pub fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.burst);
    }

    /// Lowers the level to that of a peer that has tracked the account for longer;
    /// never raises it.
    pub fn lower_to(&mut self, level: f64) {
        self.level = self.level.min(level);
    }

    /// Returns the level, in units; may be negative, after usage at peers or a request
    /// larger than the burst.
    #[must_use]
    pub const fn level(&self) -> f64 {
        self.level
    }

    /// Returns the time until the bucket holds `units`, or its burst if that is less,
    /// at the full rate; zero if it does already or never refills.
    #[must_use]
    pub fn time_until(&self, units: f64) -> TimeSpan {
        let missing = units.min(self.burst) - self.level;
        if missing <= 0.0 || self.rate_per_s <= 0.0 {
            return TimeSpan::ZERO;
        }
        TimeSpan::from_millis((missing / self.rate_per_s * 1e3).ceil() as u64)
    }
}
