//! Effects and messages gathered while one event is handled.

use super::effect::{LimitEffect, RefusalReason};
use super::event::TicketId;
use super::message::{
    ChannelId, ItemDenial, LimitMessage, LoanPoll, LotGrant, LotItem, LotReport, PartLoan,
};
use super::state::LimitState;
use clementinepond_types::{AccountId, LocalTime, TimeSpan, TokenCount, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// Channel to which a grant goes.
type GrantKey = (VmId, AccountId, ChannelId);

/// Gathers effects; messages to one VM leave as one.
#[derive(Debug, Default)]
pub(super) struct EffectOutbox {
    effects: Vec<LimitEffect>,
    messages: BTreeMap<VmId, LimitMessage>,
    reports: BTreeSet<(VmId, AccountId)>,
    grants: BTreeMap<GrantKey, Vec<ItemDenial>>,
}

impl EffectOutbox {
    pub(super) fn admit(&mut self, ticket: TicketId, deadline: LocalTime) {
        self.effects
            .push(LimitEffect::Admitted { ticket, deadline });
    }

    pub(super) fn refuse(
        &mut self,
        ticket: TicketId,
        reason: RefusalReason,
        retry_after: Option<TimeSpan>,
    ) {
        self.effects.push(LimitEffect::Refused {
            ticket,
            reason,
            retry_after,
        });
    }

    pub(super) fn released(&mut self) {
        self.effects.push(LimitEffect::Released);
    }

    pub(super) fn poll(&mut self, to: &VmId, poll: LoanPoll) {
        self.message(to).poll = Some(poll);
    }

    pub(super) fn lend_parts(&mut self, to: &VmId, loan: PartLoan) {
        self.message(to).loan = Some(loan);
    }

    /// Asks for a report of the account's channel to `to`.
    pub(super) fn report(&mut self, to: &VmId, account: &AccountId) {
        self.reports.insert((to.clone(), account.clone()));
    }

    /// Asks for a grant in a channel.
    pub(super) fn grant(&mut self, to: &VmId, account: &AccountId, channel: ChannelId) {
        let key = (to.clone(), account.clone(), channel);
        self.grants.entry(key).or_default();
    }

    /// Denies one waiting request of another VM.
    pub(super) fn deny(
        &mut self,
        to: &VmId,
        account: &AccountId,
        channel: ChannelId,
        denial: ItemDenial,
    ) {
        let key = (to.clone(), account.clone(), channel);
        self.grants.entry(key).or_default().push(denial);
    }

    fn message(&mut self, to: &VmId) -> &mut LimitMessage {
        self.messages.entry(to.clone()).or_default()
    }

    /// Writes reports and grants as of the end of the event.
    pub(super) fn flush(mut self, state: &mut LimitState, now: LocalTime) -> Vec<LimitEffect> {
        for (to, account) in std::mem::take(&mut self.reports) {
            if let Some(report) = write_report(state, &to, &account, now) {
                self.message(&to).reports.push(report);
            }
        }
        for ((to, account, channel), denied) in std::mem::take(&mut self.grants) {
            if let Some(grant) = write_grant(state, &to, &account, channel, denied, now) {
                self.message(&to).grants.push(grant);
            }
        }
        let sends = self
            .messages
            .into_iter()
            .map(|(to, message)| LimitEffect::Send { to, message });
        self.effects.extend(sends);
        self.effects
    }
}

fn write_report(
    state: &mut LimitState,
    to: &VmId,
    id: &AccountId,
    now: LocalTime,
) -> Option<LotReport> {
    let is_home = state.home(id) == Some(to);
    let account = state.accounts.get_mut(id)?;
    let is_asked = account.round.answers.contains_key(to);
    let want = if is_asked {
        account.shortfall()
    } else {
        TokenCount::ZERO
    };
    let items = if is_home && !is_asked {
        list_items(account, now)
    } else {
        Vec::new()
    };
    let channel = account.borrowed.get_mut(to)?;
    Some(LotReport {
        account: id.clone(),
        channel: channel.id,
        step: channel.next_step(now),
        granted: channel.granted(),
        returned_capacity: channel.returned_capacity,
        returned_level: channel.returned_level,
        items,
        want,
    })
}

fn list_items(account: &super::account::AccountState, now: LocalTime) -> Vec<LotItem> {
    account
        .queue
        .iter()
        .filter_map(|(key, entry)| match entry.claimant {
            super::account::Claimant::Local(ticket) => Some(LotItem {
                ticket,
                cost: entry.cost,
                priority: key.priority.0,
                time_left: now.until(entry.deadline),
            }),
            super::account::Claimant::Remote { .. } => None,
        })
        .collect()
}

fn write_grant(
    state: &mut LimitState,
    to: &VmId,
    id: &AccountId,
    channel: ChannelId,
    denied: Vec<ItemDenial>,
    now: LocalTime,
) -> Option<LotGrant> {
    let account = state.accounts.get(id)?;
    let committed = account.bucket.lent() + account.bucket.held();
    let horizon = now + state.lot_span();
    let assured = state
        .rights
        .assured_until(id, account, committed, horizon, &state.settings);
    let deadline = assured.min(horizon);
    let account = state.accounts.get_mut(id)?;
    let hint = account.hint();
    let lent = account.lent.get_mut(&(to.clone(), channel))?;
    let hint = lent.is_gathering.then_some(hint);
    lent.grant(TokenCount::ZERO, deadline);
    Some(LotGrant {
        account: id.clone(),
        channel,
        lender: state.incarnation,
        step: lent.step,
        granted: lent.granted(),
        time_left: now.until(deadline),
        denied,
        hint,
    })
}
