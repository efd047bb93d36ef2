//! Token bucket of one account on one VM.
//!
//! The capacity is the VM's own slice plus borrowed minus lent capacity. The
//! level is clamped so that level and held capacity together stay within it.

use clementinepond_types::{LocalTime, TokenCount, TokenRate};

/// Tokens and capacity of one account on this VM.
#[derive(Debug, Default)]
pub(super) struct TokenBucket {
    /// Refill rate of the VM's own slice.
    rate: TokenRate,
    /// Capacity of the VM's own slice.
    slice: TokenCount,
    borrowed: TokenCount,
    lent: TokenCount,
    /// Tokens available now.
    level: TokenCount,
    /// Capacity reserved for tokens that admitted requests have not spent yet.
    held: TokenCount,
    /// Tokens used beyond reservations and not covered by the level; refills and
    /// refunds pay them off first.
    debt: TokenCount,
    refilled_at: LocalTime,
}

impl TokenBucket {
    pub(super) fn new(now: LocalTime) -> Self {
        Self {
            refilled_at: now,
            ..Self::default()
        }
    }

    pub(super) fn rate(&self) -> TokenRate {
        self.rate
    }

    pub(super) fn level(&self) -> TokenCount {
        self.level
    }

    pub(super) fn held(&self) -> TokenCount {
        self.held
    }

    pub(super) fn slice(&self) -> TokenCount {
        self.slice
    }

    pub(super) fn borrowed(&self) -> TokenCount {
        self.borrowed
    }

    pub(super) fn lent(&self) -> TokenCount {
        self.lent
    }

    pub(super) fn capacity(&self) -> TokenCount {
        (self.slice + self.borrowed).saturating_sub(self.lent)
    }

    /// Returns the capacity that neither tokens nor reservations fill.
    pub(super) fn free_capacity(&self) -> TokenCount {
        self.capacity().saturating_sub(self.held + self.level)
    }

    pub(super) fn refill(&mut self, now: LocalTime) {
        let accrued = self.rate.accrue(self.refilled_at.until(now));
        self.refilled_at = self.refilled_at.max(now);
        let paid = accrued.min(self.debt);
        self.debt = self.debt.saturating_sub(paid);
        self.level += accrued.saturating_sub(paid);
        self.clamp();
    }

    pub(super) fn set_slice(&mut self, rate: TokenRate, slice: TokenCount) {
        self.rate = rate;
        self.slice = slice;
        self.clamp();
    }

    /// Converts tokens to held capacity; returns `false` when the level is too
    /// low.
    pub(super) fn reserve(&mut self, cost: TokenCount, is_held: bool) -> bool {
        if self.level < cost {
            return false;
        }
        self.level = self.level.saturating_sub(cost);
        if is_held {
            self.held += cost;
        }
        true
    }

    /// Frees held capacity whose tokens have been spent, so that it can refill.
    pub(super) fn spend(&mut self, amount: TokenCount) {
        self.held = self.held.saturating_sub(amount);
    }

    /// Converts held capacity back to tokens, which first pay off debt.
    pub(super) fn refund(&mut self, amount: TokenCount) {
        self.held = self.held.saturating_sub(amount);
        let paid = amount.min(self.debt);
        self.debt = self.debt.saturating_sub(paid);
        self.level += amount.saturating_sub(paid);
        self.clamp();
    }

    /// Charges tokens used beyond a reservation; what the level does not cover
    /// becomes debt.
    pub(super) fn overdraw(&mut self, amount: TokenCount) {
        let paid = amount.min(self.level);
        self.level = self.level.saturating_sub(paid);
        self.debt += amount.saturating_sub(paid);
    }

    /// Lends tokens, and with `with_capacity` also the capacity that they fill.
    pub(super) fn lend(&mut self, amount: TokenCount, with_capacity: bool) {
        self.level = self.level.saturating_sub(amount);
        if with_capacity {
            self.lent += amount;
        }
    }

    /// Takes back lent capacity and the tokens returned with it.
    pub(super) fn reclaim(&mut self, capacity: TokenCount, level: TokenCount) {
        self.lent = self.lent.saturating_sub(capacity);
        self.level += level;
        self.clamp();
    }

    /// Adds borrowed capacity and the tokens that fill it.
    pub(super) fn borrow(&mut self, amount: TokenCount) {
        self.borrowed += amount;
        self.level += amount;
        self.clamp();
    }

    /// Returns borrowed capacity and the tokens that go back with it.
    pub(super) fn return_borrowed(&mut self, capacity: TokenCount, level: TokenCount) {
        self.borrowed = self.borrowed.saturating_sub(capacity);
        self.level = self.level.saturating_sub(level);
        self.clamp();
    }

    fn clamp(&mut self) {
        let most = self.capacity().saturating_sub(self.held);
        self.level = self.level.min(most);
    }
}
