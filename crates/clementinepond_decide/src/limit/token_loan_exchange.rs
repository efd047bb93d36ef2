//! Handling of token loan reports and grants from other VMs.

use super::account::{Claimant, QueueEntry};
use super::message::{TokenLoanGrant, TokenLoanReport};
use super::outbox::EffectOutbox;
use super::reservation::TicketState;
use super::serve;
use super::settings::LimitMutation;
use super::state::LimitState;
use super::token_loan::LentChannel;
use clementinepond_types::{AccountId, LocalTime, TokenCount, VmId};
use std::collections::BTreeSet;

/// Handles a borrower's report: credits returns, queues its requests and grants spare
/// tokens that it wants.
pub(super) fn apply_report(
    state: &mut LimitState,
    from: &VmId,
    report: TokenLoanReport,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let id = report.account.clone();
    let Some(account) = state.accounts.get_mut(&id) else {
        return;
    };
    account.advance(now, &state.settings);
    let key = (from.clone(), report.channel);
    let is_owner = state.rights.owner(account) == Some(&state.rights.vm);
    let is_queueing = is_owner && !report.requests.is_empty();
    let is_unknown = report.granted > TokenCount::ZERO
        && !account.lent.contains_key(&(from.clone(), report.channel));
    let is_requesting =
        !state.releasing && !is_unknown && (is_queueing || report.want > TokenCount::ZERO);
    if !account.lent.contains_key(&key) && !is_requesting && !is_unknown {
        return;
    }
    let lent = account
        .lent
        .entry(key)
        .or_insert_with(|| LentChannel::new(now, now + state.settings.lot_span));
    let back = lent.credit(
        report.returned_capacity,
        report.returned_level,
        &state.settings,
    );
    account.bucket.reclaim(back.capacity, back.level);
    let is_newer = report.number > lent.number;
    let is_lasting = lent.outstanding() > TokenCount::ZERO;
    if is_newer {
        lent.number = report.number;
        lent.wants_tokens = report.want > TokenCount::ZERO;
    }
    state.channel_accounts.insert(id.clone());
    if is_newer {
        replace_requests(state, from, &report, is_queueing && is_requesting, now);
    }
    if is_newer && is_requesting {
        grant_spare_tokens(state, from, &report, now);
    }
    if is_requesting || is_lasting || is_unknown {
        outbox.grant(from, &id, report.channel);
    }
    serve::serve(state, &id, now, outbox);
}

/// Replaces the borrower's queued requests by those that the report lists.
fn replace_requests(
    state: &mut LimitState,
    from: &VmId,
    report: &TokenLoanReport,
    is_queueing: bool,
    now: LocalTime,
) {
    let Some(account) = state.accounts.get_mut(&report.account) else {
        return;
    };
    let Some(lent) = account.lent.get_mut(&(from.clone(), report.channel)) else {
        return;
    };
    let listed: BTreeSet<_> = report
        .requests
        .iter()
        .map(|request| request.ticket)
        .collect();
    lent.decided.retain(|ticket| listed.contains(ticket));
    let decided = lent.decided.clone();
    let mut queued = BTreeSet::new();
    account.queue.retain(|_, entry| match &entry.claimant {
        Claimant::Remote {
            vm,
            channel,
            ticket,
        } if vm == from => {
            let is_kept = *channel == report.channel && listed.contains(ticket);
            if is_kept {
                queued.insert(*ticket);
            }
            is_kept
        }
        _ => true,
    });
    if !is_queueing {
        return;
    }
    for request in &report.requests {
        if queued.contains(&request.ticket) || decided.contains(&request.ticket) {
            continue;
        }
        let entry = QueueEntry {
            claimant: Claimant::Remote {
                vm: from.clone(),
                channel: report.channel,
                ticket: request.ticket,
            },
            cost: request.cost,
            deadline: now + request.time_left.min(state.settings.queue_wait),
        };
        account.enqueue(request.priority, entry);
    }
}

/// Grants as much of the tokens that another owner wants as the queue here
/// leaves over.
fn grant_spare_tokens(
    state: &mut LimitState,
    from: &VmId,
    report: &TokenLoanReport,
    now: LocalTime,
) {
    let Some(account) = state.accounts.get(&report.account) else {
        return;
    };
    let spare = account.bucket.level().saturating_sub(account.demand());
    let amount = report.want.min(spare);
    if amount == TokenCount::ZERO {
        return;
    }
    let key = (from.clone(), report.channel);
    let Some(deadline) = state.token_loan_deadline(&report.account, &key, amount, now) else {
        return;
    };
    let with_capacity = !state.settings.has(LimitMutation::LendWithoutCapacity);
    let Some(account) = state.accounts.get_mut(&report.account) else {
        return;
    };
    if let Some(lent) = account.lent.get_mut(&key) {
        lent.grant(amount, deadline);
        account.bucket.lend(amount, with_capacity);
    }
}

/// Handles a lender's grant: borrows tokens that are new in it and refuses denied
/// requests. A grant of a restarted lender ends the channel.
pub(super) fn take_grant(
    state: &mut LimitState,
    from: &VmId,
    grant: &TokenLoanGrant,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let id = &grant.account;
    let Some(account) = state.accounts.get_mut(id) else {
        return;
    };
    account.advance(now, &state.settings);
    let Some(channel) = account.borrowed.get_mut(from) else {
        return;
    };
    if channel.id != grant.channel {
        return;
    }
    if channel.is_same_lender(grant, &state.settings) {
        let added = channel.accept(grant, now, &state.settings);
        account.bucket.borrow(added);
    } else {
        let expired = channel.outstanding();
        account.borrowed.remove(from);
        account.bucket.return_borrowed(expired, TokenCount::ZERO);
    }
    if let Some(answer) = account.round.answers.get_mut(from) {
        answer.hint = grant.hint;
    }
    for denial in &grant.denied {
        refuse_denied(state, id, denial, outbox);
    }
    serve::serve(state, id, now, outbox);
}

fn refuse_denied(
    state: &mut LimitState,
    id: &AccountId,
    denial: &super::message::RequestDenial,
    outbox: &mut EffectOutbox,
) {
    let Some(TicketState::Waiting(ticket)) = state.tickets.get(&denial.ticket) else {
        return;
    };
    if ticket.account != *id {
        return;
    }
    let key = ticket.state.key;
    if let Some(account) = state.accounts.get_mut(id) {
        account.queue.remove(&key);
    }
    state.tickets.remove(&denial.ticket);
    outbox.refuse(denial.ticket, denial.reason, Some(denial.retry_after));
}
