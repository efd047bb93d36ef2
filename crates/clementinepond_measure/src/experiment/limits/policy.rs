//! Limit policies under comparison.

use clementinepond_decide::limit::{
    AccountLimit, AdmissionRequest, LimitEffect, LimitEvent, LimitSettings, LimitState,
    PartFraction, RefusalReason, TicketId, reduce,
};
use clementinepond_types::{AccountId, LocalTime, TimeSpan, TokenCount, VmId};
use std::collections::BTreeMap;

/// Limit policy of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyKind {
    /// Equal static split: each VM uses only its own slice.
    StaticSplit,
    /// The limit reducer used in production.
    Current,
}

/// State of the limit policy on one VM.
#[derive(Debug)]
pub(super) enum VmPolicy {
    /// Equal static split.
    StaticSplit(Box<StaticSplit>),
    /// The limit reducer used in production.
    Current(Box<LimitState>),
}

impl VmPolicy {
    /// Returns the initial state of a policy on one VM.
    #[must_use]
    pub(super) fn new(
        kind: PolicyKind,
        settings: &LimitSettings,
        vm: VmId,
        incarnation: u32,
    ) -> Self {
        match kind {
            PolicyKind::StaticSplit => Self::StaticSplit(Box::default()),
            PolicyKind::Current => {
                Self::Current(Box::new(LimitState::new(settings.clone(), vm, incarnation)))
            }
        }
    }

    /// Handles one event and returns its effects.
    pub(super) fn handle(&mut self, event: LimitEvent, now: LocalTime) -> Vec<LimitEffect> {
        match self {
            Self::StaticSplit(split) => split.handle(event, now),
            Self::Current(state) => reduce(state, event, now),
        }
    }
}

#[derive(Debug, Default)]
struct SplitBucket {
    limit: Option<AccountLimit>,
    level: TokenCount,
    held: TokenCount,
    refilled_at: LocalTime,
}

#[derive(Debug)]
struct SplitTicket {
    account: AccountId,
    cost: TokenCount,
    spent: TokenCount,
    prompt: TokenCount,
}

/// Equal static split: one bucket per account and VM, no messages and no queue.
#[derive(Debug, Default)]
pub(super) struct StaticSplit {
    fraction: PartFraction,
    buckets: BTreeMap<AccountId, SplitBucket>,
    tickets: BTreeMap<TicketId, SplitTicket>,
}

impl StaticSplit {
    fn handle(&mut self, event: LimitEvent, now: LocalTime) -> Vec<LimitEffect> {
        match event {
            LimitEvent::Request(request) => return vec![self.request_admission(request, now)],
            LimitEvent::Progress { ticket, generated } => self.spend(ticket, generated),
            LimitEvent::Started { ticket } => self.spend(ticket, TokenCount::ZERO),
            LimitEvent::Settle { ticket, used } => self.settle(ticket, used, now),
            LimitEvent::Cancel { ticket } => self.settle(ticket, TokenCount::ZERO, now),
            LimitEvent::PartsChanged(view) => {
                self.fraction = PartFraction::new(view.share, view.parts);
            }
            LimitEvent::AccountsChanged(table) => {
                for (id, limit) in table.limits {
                    self.refill(&id, now);
                    self.buckets.entry(id).or_default().limit = Some(limit);
                }
            }
            LimitEvent::Received { .. } | LimitEvent::Tick | LimitEvent::Release => {}
        }
        Vec::new()
    }

    fn refill(&mut self, id: &AccountId, now: LocalTime) {
        let fraction = self.fraction;
        let bucket = self.buckets.entry(id.clone()).or_default();
        if let Some(limit) = bucket.limit {
            let rate = fraction.of_rate(limit.rate);
            let most = fraction.of_burst(limit.burst).saturating_sub(bucket.held);
            let level = bucket.level + rate.accrue(bucket.refilled_at.until(now));
            bucket.level = level.min(most);
        }
        bucket.refilled_at = now;
    }

    fn request_admission(&mut self, request: AdmissionRequest, now: LocalTime) -> LimitEffect {
        self.refill(&request.account, now);
        let cost = request.prompt + request.output;
        let bucket = self.buckets.entry(request.account.clone()).or_default();
        if bucket.level < cost {
            return LimitEffect::Refused {
                ticket: request.ticket,
                reason: RefusalReason::OverRate,
                retry_after: Some(TimeSpan::from_secs(1)),
            };
        }
        bucket.level = bucket.level.saturating_sub(cost);
        bucket.held += cost;
        let ticket = SplitTicket {
            account: request.account,
            cost,
            spent: TokenCount::ZERO,
            prompt: request.prompt,
        };
        self.tickets.insert(request.ticket, ticket);
        LimitEffect::Admitted {
            ticket: request.ticket,
            deadline: now + TimeSpan::from_secs(1),
        }
    }

    fn spend(&mut self, ticket: TicketId, generated: TokenCount) {
        let Some(ticket) = self.tickets.get_mut(&ticket) else {
            return;
        };
        let total = (ticket.prompt + generated).min(ticket.cost);
        let newly = total.saturating_sub(ticket.spent);
        ticket.spent += newly;
        let bucket = self.buckets.entry(ticket.account.clone()).or_default();
        bucket.held = bucket.held.saturating_sub(newly);
    }

    fn settle(&mut self, ticket: TicketId, used: TokenCount, now: LocalTime) {
        let Some(ticket) = self.tickets.remove(&ticket) else {
            return;
        };
        self.refill(&ticket.account, now);
        let bucket = self.buckets.entry(ticket.account).or_default();
        bucket.held = bucket
            .held
            .saturating_sub(ticket.cost.saturating_sub(ticket.spent));
        bucket.level += ticket.cost.saturating_sub(used.max(ticket.spent));
    }
}
