//! Token loans: channels in which capacity and the tokens that fill it move
//! between two VMs.
//!
//! Both ends keep totals since the channel was opened. The borrower drops what
//! is outstanding at its deadline; the lender reclaims it at its own deadline,
//! which is later.

use super::message::{ChannelId, TokenLoanGrant};
use super::settings::{LimitMutation, LimitSettings};
use clementinepond_types::{LocalTime, TimeSpan, TokenCount};
use std::collections::{BTreeSet, VecDeque};

use super::event::TicketId;

/// Number of latest reports whose send time is kept.
const MAX_TRACKED_REPORTS: usize = 16;

/// Borrower's end of a channel.
#[derive(Debug)]
pub(super) struct BorrowedChannel {
    pub(super) id: ChannelId,
    /// Incarnation of the lender that answered first.
    lender: Option<u32>,
    number: u32,
    /// Numbers and send times of the latest reports.
    sent: VecDeque<(u32, LocalTime)>,
    granted: TokenCount,
    pub(super) returned_capacity: TokenCount,
    pub(super) returned_level: TokenCount,
    deadline: Option<LocalTime>,
    opened_at: LocalTime,
}

impl BorrowedChannel {
    pub(super) fn new(id: ChannelId, now: LocalTime) -> Self {
        Self {
            id,
            lender: None,
            number: 0,
            sent: VecDeque::new(),
            granted: TokenCount::ZERO,
            returned_capacity: TokenCount::ZERO,
            returned_level: TokenCount::ZERO,
            deadline: None,
            opened_at: now,
        }
    }

    /// Returns the borrowed capacity that has not been returned.
    pub(super) fn outstanding(&self) -> TokenCount {
        self.granted.saturating_sub(self.returned_capacity)
    }

    pub(super) fn granted(&self) -> TokenCount {
        self.granted
    }

    /// Returns whether the grant comes from the lender process that answered first, and
    /// records the first one.
    pub(super) fn is_same_lender(
        &mut self,
        grant: &TokenLoanGrant,
        settings: &LimitSettings,
    ) -> bool {
        let lender = *self.lender.get_or_insert(grant.lender);
        lender == grant.lender || settings.has(LimitMutation::TrustRestartedLender)
    }

    pub(super) fn deadline(&self) -> Option<LocalTime> {
        self.deadline
    }

    /// Returns whether no grant, not even of 0 tokens, set a deadline within `span` of
    /// the opening of the channel.
    pub(super) fn is_unanswered(&self, now: LocalTime, span: TimeSpan) -> bool {
        self.deadline.is_none() && self.opened_at + span <= now
    }

    /// Numbers the next report and records its send time.
    pub(super) fn next_number(&mut self, now: LocalTime) -> u32 {
        self.number = self.number.saturating_add(1);
        if self.sent.len() == MAX_TRACKED_REPORTS {
            self.sent.pop_front();
        }
        self.sent.push_back((self.number, now));
        self.number
    }

    /// Applies a grant; returns the capacity and tokens that it adds.
    pub(super) fn accept(
        &mut self,
        grant: &TokenLoanGrant,
        now: LocalTime,
        settings: &LimitSettings,
    ) -> TokenCount {
        let extended = self.extended_deadline(grant, now, settings);
        self.deadline = self.deadline.max(extended);
        if self.deadline.is_none_or(|deadline| deadline <= now) {
            return TokenCount::ZERO;
        }
        if settings.has(LimitMutation::AddRepeatedGrants) {
            self.granted += grant.granted;
            return grant.granted;
        }
        let added = grant.granted.saturating_sub(self.granted);
        self.granted += added;
        added
    }

    fn extended_deadline(
        &self,
        grant: &TokenLoanGrant,
        now: LocalTime,
        settings: &LimitSettings,
    ) -> Option<LocalTime> {
        let sent = self.sent.iter().find(|(number, _)| *number == grant.number);
        let from = if settings.has(LimitMutation::CountFromReceipt) {
            now
        } else {
            sent?.1
        };
        Some(from + settings.shorten(grant.time_left))
    }

    /// Records capacity and tokens that go back to the lender.
    pub(super) fn record_return(&mut self, capacity: TokenCount, level: TokenCount) {
        self.returned_capacity += capacity;
        self.returned_level += level;
    }
}

/// Lender's end of a channel.
#[derive(Debug)]
pub(super) struct LentChannel {
    granted: TokenCount,
    returned_capacity: TokenCount,
    returned_level: TokenCount,
    pub(super) number: u32,
    /// Time until which the borrower may rely on the channel.
    pub(super) deadline: LocalTime,
    /// Time until which the channel is kept if nothing was granted in it.
    unused_until: LocalTime,
    /// Whether the last report requested spare tokens.
    pub(super) wants_tokens: bool,
    /// Requests of the borrower that were granted or denied and that its reports may
    /// still list.
    pub(super) decided: BTreeSet<TicketId>,
}

/// Capacity and tokens newly returned by the borrower.
#[derive(Debug, Clone, Copy)]
pub(super) struct TokenLoanReturn {
    pub(super) capacity: TokenCount,
    pub(super) level: TokenCount,
}

impl LentChannel {
    pub(super) fn new(now: LocalTime, unused_until: LocalTime) -> Self {
        Self {
            granted: TokenCount::ZERO,
            returned_capacity: TokenCount::ZERO,
            returned_level: TokenCount::ZERO,
            number: 0,
            deadline: now,
            unused_until,
            wants_tokens: false,
            decided: BTreeSet::new(),
        }
    }

    pub(super) fn granted(&self) -> TokenCount {
        self.granted
    }

    /// Returns the lent capacity that has not been returned.
    pub(super) fn outstanding(&self) -> TokenCount {
        self.granted.saturating_sub(self.returned_capacity)
    }

    /// Returns whether the borrower can no longer rely on the channel.
    ///
    /// A channel without any grant is kept until `unused_until`.
    pub(super) fn is_expired(&self, now: LocalTime) -> bool {
        let is_unused = self.granted == TokenCount::ZERO;
        self.deadline <= now && (!is_unused || self.unused_until <= now)
    }

    /// Adds a grant that lasts until `deadline`.
    pub(super) fn grant(&mut self, amount: TokenCount, deadline: LocalTime) {
        self.granted += amount;
        self.deadline = self.deadline.max(deadline);
    }

    /// Applies the borrower's totals; returns what is new in them.
    pub(super) fn credit(
        &mut self,
        capacity: TokenCount,
        level: TokenCount,
        settings: &LimitSettings,
    ) -> TokenLoanReturn {
        let known = capacity.min(self.granted);
        let mut back = TokenLoanReturn {
            capacity: known.saturating_sub(self.returned_capacity),
            level: level.saturating_sub(self.returned_level),
        };
        back.level = back.level.min(back.capacity);
        if settings.has(LimitMutation::AddRepeatedReturns) {
            back = TokenLoanReturn { capacity, level };
        }
        self.returned_capacity = self.returned_capacity.max(known);
        self.returned_level = self.returned_level.max(level);
        back
    }
}
