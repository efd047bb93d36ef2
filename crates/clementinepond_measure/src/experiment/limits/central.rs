//! The ideal: one bucket for the whole fleet, or one a side of a partition.

use clementinepond_decide::limit::AccountLimit;
use clementinepond_types::{TimeSpan, TokenCount};

/// Bucket that knows the true cost of each request.
#[derive(Debug, Clone)]
pub(super) struct CentralBucket {
    limit: AccountLimit,
    level: TokenCount,
    refilled_at: u64,
}

impl CentralBucket {
    /// Starts empty, as a fleet does.
    #[must_use]
    pub(super) fn new(limit: AccountLimit) -> Self {
        Self {
            limit,
            level: TokenCount::ZERO,
            refilled_at: 0,
        }
    }

    fn refill(&mut self, now: u64) {
        let duration = TimeSpan::from_micros(now.saturating_sub(self.refilled_at));
        self.level = (self.level + self.limit.rate.accrue(duration)).min(self.limit.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Changes the limit.
    pub(super) fn set_limit(&mut self, limit: AccountLimit, now: u64) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Returns whether a cost would be admitted.
    pub(super) fn can_admit(&mut self, cost: TokenCount, now: u64) -> bool {
        self.refill(now);
        self.level >= cost
    }

    /// Charges a cost, down to zero.
    pub(super) fn charge(&mut self, cost: TokenCount, now: u64) {
        self.refill(now);
        self.level = self.level.saturating_sub(cost);
    }

    /// Admits a cost if there is enough.
    pub(super) fn admit(&mut self, cost: TokenCount, now: u64) -> bool {
        let has = self.can_admit(cost, now);
        if has {
            self.charge(cost, now);
        }
        has
    }

    /// Splits off `parts` of `whole`.
    pub(super) fn split(&mut self, parts: u64, total: u64, now: u64) -> Self {
        self.refill(now);
        let mut other = self.clone();
        other.limit = scale(self.limit, parts, total);
        other.level = self.level.fraction(parts, total);
        self.limit = scale(self.limit, total - parts, total);
        self.level = self.level.saturating_sub(other.level);
        other
    }

    /// Joins another side again.
    pub(super) fn join(&mut self, mut other: Self, limit: AccountLimit, now: u64) {
        self.refill(now);
        other.refill(now);
        self.limit = limit;
        self.level = (self.level + other.level).min(limit.burst);
    }
}

fn scale(limit: AccountLimit, parts: u64, total: u64) -> AccountLimit {
    AccountLimit {
        rate: limit.rate.fraction(parts, total),
        burst: limit.burst.fraction(parts, total),
    }
}
