//! Ideal limiter: one bucket for the whole fleet, or one on each side of a partition.

use clementinepond_decide::limit::AccountLimit;
use clementinepond_types::{TimeSpan, TokenCount};

/// Token bucket that charges the true cost of each request.
#[derive(Debug, Clone)]
pub(super) struct CentralBucket {
    limit: AccountLimit,
    level: TokenCount,
    refilled_at: u64,
}

impl CentralBucket {
    /// Returns an empty bucket, since a fleet also starts without tokens.
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

    /// Changes the limit and caps the level at the new burst.
    pub(super) fn set_limit(&mut self, limit: AccountLimit, now: u64) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Returns whether the level covers a cost.
    pub(super) fn can_admit(&mut self, cost: TokenCount, now: u64) -> bool {
        self.refill(now);
        self.level >= cost
    }

    /// Charges a cost; the level doesn't fall below zero.
    pub(super) fn charge(&mut self, cost: TokenCount, now: u64) {
        self.refill(now);
        self.level = self.level.saturating_sub(cost);
    }

    /// Charges a cost if the level covers it and returns whether it did.
    pub(super) fn admit(&mut self, cost: TokenCount, now: u64) -> bool {
        let has = self.can_admit(cost, now);
        if has {
            self.charge(cost, now);
        }
        has
    }

    /// Splits off a bucket with `parts` of `total` of the limit and the level.
    pub(super) fn split(&mut self, parts: u64, total: u64, now: u64) -> Self {
        self.refill(now);
        let mut other = self.clone();
        other.limit = scale(self.limit, parts, total);
        other.level = self.level.fraction(parts, total);
        self.limit = scale(self.limit, total - parts, total);
        self.level = self.level.saturating_sub(other.level);
        other
    }

    /// Merges the bucket of the other side after a partition.
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
