//! Channels in which capacity and tokens move between two VMs.
//!
//! Both ends keep totals since the channel was opened. The borrower drops
//! what is outstanding at its deadline; the lender resumes it at its own
//! deadline, which is later.

use super::message::{ChannelId, LotGrant};
use super::settings::{LimitMutation, LimitSettings};
use clementinepond_types::{LocalTime, TimeSpan, TokenCount};
use std::collections::{BTreeSet, VecDeque};

use super::event::TicketId;

/// Reports of which the time of sending is remembered.
const REMEMBERED_REPORTS: usize = 16;

/// Borrower's end of a channel.
#[derive(Debug)]
pub(super) struct BorrowedChannel {
    pub(super) id: ChannelId,
    lender: Option<u32>,
    step: u32,
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
            step: 0,
            sent: VecDeque::new(),
            granted: TokenCount::ZERO,
            returned_capacity: TokenCount::ZERO,
            returned_level: TokenCount::ZERO,
            deadline: None,
            opened_at: now,
        }
    }

    /// Returns capacity that is borrowed and not yet returned.
    pub(super) fn outstanding(&self) -> TokenCount {
        self.granted.saturating_sub(self.returned_capacity)
    }

    pub(super) fn granted(&self) -> TokenCount {
        self.granted
    }

    /// Returns whether the process that lends is the one that answered first.
    pub(super) fn is_same_lender(&mut self, grant: &LotGrant, settings: &LimitSettings) -> bool {
        let lender = *self.lender.get_or_insert(grant.lender);
        lender == grant.lender || settings.has(LimitMutation::TrustRestartedLender)
    }

    pub(super) fn deadline(&self) -> Option<LocalTime> {
        self.deadline
    }

    /// Returns whether the channel was never answered within `span`.
    pub(super) fn is_abandoned(&self, now: LocalTime, span: TimeSpan) -> bool {
        self.deadline.is_none() && self.opened_at + span <= now
    }

    /// Numbers the next report and remembers when it was sent.
    pub(super) fn next_step(&mut self, now: LocalTime) -> u32 {
        self.step = self.step.saturating_add(1);
        if self.sent.len() == REMEMBERED_REPORTS {
            self.sent.pop_front();
        }
        self.sent.push_back((self.step, now));
        self.step
    }

    /// Takes a grant in; returns the capacity and tokens that it adds.
    pub(super) fn accept(
        &mut self,
        grant: &LotGrant,
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
        grant: &LotGrant,
        now: LocalTime,
        settings: &LimitSettings,
    ) -> Option<LocalTime> {
        let sent = self.sent.iter().find(|(step, _)| *step == grant.step);
        let from = if settings.has(LimitMutation::CountFromReceipt) {
            now
        } else {
            sent?.1
        };
        Some(from + settings.shorten(grant.time_left))
    }

    /// Notes capacity and tokens that go back to the lender.
    pub(super) fn give_back(&mut self, capacity: TokenCount, level: TokenCount) {
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
    pub(super) step: u32,
    /// Latest moment until which the borrower may count on the channel.
    pub(super) deadline: LocalTime,
    forget_at: LocalTime,
    /// Whether the last report wanted tokens at once.
    pub(super) is_gathering: bool,
    pub(super) decided: BTreeSet<TicketId>,
}

/// Capacity and tokens that came back.
#[derive(Debug, Clone, Copy)]
pub(super) struct LotReturn {
    pub(super) capacity: TokenCount,
    pub(super) level: TokenCount,
}

impl LentChannel {
    pub(super) fn new(now: LocalTime, forget_at: LocalTime) -> Self {
        Self {
            granted: TokenCount::ZERO,
            returned_capacity: TokenCount::ZERO,
            returned_level: TokenCount::ZERO,
            step: 0,
            deadline: now,
            forget_at,
            is_gathering: false,
            decided: BTreeSet::new(),
        }
    }

    pub(super) fn granted(&self) -> TokenCount {
        self.granted
    }

    /// Returns capacity that is lent and not yet returned.
    pub(super) fn outstanding(&self) -> TokenCount {
        self.granted.saturating_sub(self.returned_capacity)
    }

    /// Returns whether the borrower can no longer count on the channel.
    pub(super) fn is_over(&self, now: LocalTime) -> bool {
        let is_unused = self.granted == TokenCount::ZERO;
        self.deadline <= now && (!is_unused || self.forget_at <= now)
    }

    /// Adds a grant that lasts until `deadline`.
    pub(super) fn grant(&mut self, amount: TokenCount, deadline: LocalTime) {
        self.granted += amount;
        self.deadline = self.deadline.max(deadline);
    }

    /// Takes the borrower's totals in; returns what is new in them.
    pub(super) fn credit(
        &mut self,
        capacity: TokenCount,
        level: TokenCount,
        settings: &LimitSettings,
    ) -> LotReturn {
        let known = capacity.min(self.granted);
        let mut back = LotReturn {
            capacity: known.saturating_sub(self.returned_capacity),
            level: level.saturating_sub(self.returned_level),
        };
        back.level = back.level.min(back.capacity);
        if settings.has(LimitMutation::AddRepeatedReturns) {
            back = LotReturn { capacity, level };
        }
        self.returned_capacity = self.returned_capacity.max(known);
        self.returned_level = self.returned_level.max(level);
        back
    }
}
