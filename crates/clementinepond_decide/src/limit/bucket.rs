//! The token bucket of one account on one VM.
//!
//! Level and held capacity together never exceed the capacity, which is the
//! own slice plus borrowed minus lent capacity.

use clementinepond_types::{LocalTime, TokenCount, TokenRate};

/// Tokens and capacity of one account on this VM.
#[derive(Debug, Default)]
pub(super) struct TokenBucket {
    rate: TokenRate,
    slice: TokenCount,
    borrowed: TokenCount,
    lent: TokenCount,
    level: TokenCount,
    held: TokenCount,
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

    /// Returns capacity that neither tokens nor reservations fill.
    pub(super) fn room(&self) -> TokenCount {
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

    /// Turns tokens into held capacity; `false` when there are too few.
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

    /// Frees held capacity whose tokens were spent.
    pub(super) fn spend(&mut self, amount: TokenCount) {
        self.held = self.held.saturating_sub(amount);
    }

    /// Turns held capacity back into tokens.
    pub(super) fn refund(&mut self, amount: TokenCount) {
        self.held = self.held.saturating_sub(amount);
        let paid = amount.min(self.debt);
        self.debt = self.debt.saturating_sub(paid);
        self.level += amount.saturating_sub(paid);
        self.clamp();
    }

    /// Charges tokens that were used beyond a reservation.
    pub(super) fn overdraw(&mut self, amount: TokenCount) {
        let paid = amount.min(self.level);
        self.level = self.level.saturating_sub(paid);
        self.debt += amount.saturating_sub(paid);
    }

    /// Moves capacity together with the tokens that fill it to a borrower.
    pub(super) fn lend(&mut self, amount: TokenCount, with_capacity: bool) {
        self.level = self.level.saturating_sub(amount);
        if with_capacity {
            self.lent += amount;
        }
    }

    /// Takes lent capacity back, with the tokens that came along.
    pub(super) fn resume(&mut self, capacity: TokenCount, level: TokenCount) {
        self.lent = self.lent.saturating_sub(capacity);
        self.level += level;
        self.clamp();
    }

    /// Adds borrowed capacity together with the tokens that fill it.
    pub(super) fn borrow(&mut self, amount: TokenCount) {
        self.borrowed += amount;
        self.level += amount;
        self.clamp();
    }

    /// Gives borrowed capacity up, with tokens that go along.
    pub(super) fn give_up(&mut self, capacity: TokenCount, level: TokenCount) {
        self.borrowed = self.borrowed.saturating_sub(capacity);
        self.level = self.level.saturating_sub(level);
        self.clamp();
    }

    fn clamp(&mut self) {
        let most = self.capacity().saturating_sub(self.held);
        self.level = self.level.min(most);
    }
}
