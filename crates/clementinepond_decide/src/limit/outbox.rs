//! Collects the effects and messages of one event.

use super::effect::{LimitEffect, RefusalReason};
use super::event::TicketId;
use super::message::{
    ChannelId, LimitMessage, LoanPoll, PartLoan, QueuedRequest, RequestDenial, TokenLoanGrant,
    TokenLoanReport,
};
use super::state::LimitState;
use clementinepond_types::{AccountId, LocalTime, TimeSpan, TokenCount, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// Receiver, account and channel of a grant.
type GrantKey = (VmId, AccountId, ChannelId);

/// Collects effects; all items for one VM are sent as one message.
#[derive(Debug, Default)]
pub(super) struct EffectOutbox {
    effects: Vec<LimitEffect>,
    messages: BTreeMap<VmId, LimitMessage>,
    reports: BTreeSet<(VmId, AccountId)>,
    grants: BTreeMap<GrantKey, Vec<RequestDenial>>,
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

    /// Schedules a report to the lender `to` about the channel of the account.
    pub(super) fn report(&mut self, to: &VmId, account: &AccountId) {
        self.reports.insert((to.clone(), account.clone()));
    }

    /// Schedules a grant to the borrower `to` about a channel.
    pub(super) fn grant(&mut self, to: &VmId, account: &AccountId, channel: ChannelId) {
        let key = (to.clone(), account.clone(), channel);
        self.grants.entry(key).or_default();
    }

    /// Adds the denial of a waiting request to the grant about its channel.
    pub(super) fn deny(
        &mut self,
        to: &VmId,
        account: &AccountId,
        channel: ChannelId,
        denial: RequestDenial,
    ) {
        let key = (to.clone(), account.clone(), channel);
        self.grants.entry(key).or_default().push(denial);
    }

    fn message(&mut self, to: &VmId) -> &mut LimitMessage {
        self.messages.entry(to.clone()).or_default()
    }

    /// Builds the scheduled reports and grants from the state at the end of the
    /// event.
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
) -> Option<TokenLoanReport> {
    let is_owner = state.owner(id) == Some(to);
    let account = state.accounts.get_mut(id)?;
    let is_requested = account.round.answers.contains_key(to);
    let want = if is_requested {
        account.shortfall()
    } else {
        TokenCount::ZERO
    };
    let requests = if is_owner && !is_requested {
        list_requests(account, now)
    } else {
        Vec::new()
    };
    let channel = account.borrowed.get_mut(to)?;
    Some(TokenLoanReport {
        account: id.clone(),
        channel: channel.id,
        number: channel.next_number(now),
        granted: channel.granted(),
        returned_capacity: channel.returned_capacity,
        returned_level: channel.returned_level,
        requests,
        want,
    })
}

fn list_requests(account: &super::account::AccountState, now: LocalTime) -> Vec<QueuedRequest> {
    account
        .queue
        .iter()
        .filter_map(|(key, entry)| match entry.claimant {
            super::account::Claimant::Local(ticket) => Some(QueuedRequest {
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
    denied: Vec<RequestDenial>,
    now: LocalTime,
) -> Option<TokenLoanGrant> {
    let account = state.accounts.get(id)?;
    let committed = account.bucket.lent() + account.bucket.held();
    let horizon = now + state.token_loan_lifetime();
    let assured = state
        .rights
        .assured_until(id, account, committed, horizon, &state.settings);
    let deadline = assured.min(horizon);
    let account = state.accounts.get_mut(id)?;
    let hint = account.hint();
    let lent = account.lent.get_mut(&(to.clone(), channel))?;
    let hint = lent.wants_tokens.then_some(hint);
    lent.grant(TokenCount::ZERO, deadline);
    Some(TokenLoanGrant {
        account: id.clone(),
        channel,
        lender: state.incarnation,
        number: lent.number,
        granted: lent.granted(),
        time_left: now.until(deadline),
        denied,
        hint,
    })
}
