//! Reports and grants of lots between two VMs.

use super::account::{Claimant, QueueEntry};
use super::lot::LentChannel;
use super::message::{LotGrant, LotReport};
use super::outbox::EffectOutbox;
use super::reservation::TicketState;
use super::serve;
use super::settings::LimitMutation;
use super::state::LimitState;
use clementinepond_types::{AccountId, LocalTime, TokenCount, VmId};
use std::collections::BTreeSet;

/// Handles a borrower's report: credits returns and queues its requests.
pub(super) fn take_report(
    state: &mut LimitState,
    from: &VmId,
    report: LotReport,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let id = report.account.clone();
    let Some(account) = state.accounts.get_mut(&id) else {
        return;
    };
    account.settle(now, &state.settings);
    let key = (from.clone(), report.channel);
    let is_home = state.rights.home(account) == Some(&state.rights.vm);
    let is_ordering = is_home && !report.items.is_empty();
    let is_unknown = report.granted > TokenCount::ZERO
        && !account.lent.contains_key(&(from.clone(), report.channel));
    let asks = !state.releasing && !is_unknown && (is_ordering || report.want > TokenCount::ZERO);
    if !account.lent.contains_key(&key) && !asks && !is_unknown {
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
    account.bucket.resume(back.capacity, back.level);
    let is_newer = report.step > lent.step;
    let is_lasting = lent.outstanding() > TokenCount::ZERO;
    if is_newer {
        lent.step = report.step;
        lent.is_gathering = report.want > TokenCount::ZERO;
    }
    state.channels.insert(id.clone());
    if is_newer {
        replace_items(state, from, &report, is_ordering && asks, now);
    }
    if is_newer && asks {
        spare_wanted(state, from, &report, now);
    }
    if asks || is_lasting || is_unknown {
        outbox.grant(from, &id, report.channel);
    }
    serve::serve(state, &id, now, outbox);
}

/// Makes the queue hold exactly the requests that the report lists.
fn replace_items(
    state: &mut LimitState,
    from: &VmId,
    report: &LotReport,
    is_ordering: bool,
    now: LocalTime,
) {
    let Some(account) = state.accounts.get_mut(&report.account) else {
        return;
    };
    let Some(lent) = account.lent.get_mut(&(from.clone(), report.channel)) else {
        return;
    };
    let listed: BTreeSet<_> = report.items.iter().map(|item| item.ticket).collect();
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
    if !is_ordering {
        return;
    }
    for item in &report.items {
        if queued.contains(&item.ticket) || decided.contains(&item.ticket) {
            continue;
        }
        let entry = QueueEntry {
            claimant: Claimant::Remote {
                vm: from.clone(),
                channel: report.channel,
                ticket: item.ticket,
            },
            cost: item.cost,
            deadline: now + item.time_left.min(state.settings.queue_wait),
        };
        account.enqueue(item.priority, entry);
    }
}

/// Grants what another home wants, as far as this one can spare it.
fn spare_wanted(state: &mut LimitState, from: &VmId, report: &LotReport, now: LocalTime) {
    let Some(account) = state.accounts.get(&report.account) else {
        return;
    };
    let spare = account.bucket.level().saturating_sub(account.demand());
    let amount = report.want.min(spare);
    if amount == TokenCount::ZERO {
        return;
    }
    let key = (from.clone(), report.channel);
    let Some(deadline) = state.lot_deadline(&report.account, &key, amount, now) else {
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

/// Handles a lender's grant: borrows what is new and ends denied requests.
pub(super) fn take_grant(
    state: &mut LimitState,
    from: &VmId,
    grant: &LotGrant,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let id = &grant.account;
    let Some(account) = state.accounts.get_mut(id) else {
        return;
    };
    account.settle(now, &state.settings);
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
        let lapsed = channel.outstanding();
        account.borrowed.remove(from);
        account.bucket.give_up(lapsed, TokenCount::ZERO);
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
    denial: &super::message::ItemDenial,
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
