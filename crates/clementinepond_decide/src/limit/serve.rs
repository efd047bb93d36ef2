//! Grants tokens to waiting requests in queue order.
//!
//! A request that cannot be admitted before its deadline with the tokens of this
//! VM and of the VMs that answered is refused at once.

use super::account::{AccountState, Claimant, QueueEntry, QueueKey};
use super::effect::RefusalReason;
use super::message::{LevelHint, RequestDenial};
use super::outbox::EffectOutbox;
use super::reservation::TicketState;
use super::settings::{LimitMutation, LimitSettings};
use super::state::LimitState;
use super::upstream::{self, ReachableTokens};
use clementinepond_types::{AccountId, LocalTime, TimeSpan, TokenCount};

/// Lower bound of an estimated `Retry-After`.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(100);

/// Admits what the bucket allows, refuses what cannot be served in time and
/// requests missing tokens from other VMs.
///
/// The account must have been advanced to `now`.
pub(super) fn serve(
    state: &mut LimitState,
    id: &AccountId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    refuse_inactive(state, id, outbox);
    refuse_expired(state, id, now, outbox);
    grant_in_order(state, id, now, outbox);
    upstream::request_tokens(state, id, now, outbox);
    refuse_unservable(state, id, now, outbox);
    let is_waiting = state
        .accounts
        .get(id)
        .is_some_and(|account| !account.queue.is_empty());
    if is_waiting {
        state.waiting_accounts.insert(id.clone());
    } else {
        state.waiting_accounts.remove(id);
    }
}

/// Advances an account to `now` and serves its queue.
pub(super) fn serve_at(
    state: &mut LimitState,
    id: &AccountId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    if let Some(account) = state.accounts.get_mut(id) {
        account.advance(now, &state.settings);
    }
    serve(state, id, now, outbox);
}

fn grant_in_order(
    state: &mut LimitState,
    id: &AccountId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    while let Some(deadline) = head_deadline(state, id, now) {
        let Some(account) = state.accounts.get_mut(id) else {
            return;
        };
        let Some((_, entry)) = account.queue.pop_first() else {
            return;
        };
        grant_tokens(state, id, entry, deadline, outbox);
    }
}

/// Returns the deadline that a grant to the first entry would have, or `None` when
/// the entry must wait.
fn head_deadline(state: &LimitState, id: &AccountId, now: LocalTime) -> Option<LocalTime> {
    let settings = &state.settings;
    let account = state.accounts.get(id)?;
    let (_, entry) = account.queue.first_key_value()?;
    if account.bucket.level() < entry.cost {
        return None;
    }
    if let Claimant::Remote { vm, channel, .. } = &entry.claimant {
        let key = (vm.clone(), *channel);
        return match account.lent.contains_key(&key) {
            true => state.token_loan_deadline(id, &key, entry.cost, now),
            // The channel has expired, so the entry is dropped without a grant.
            false => Some(now),
        };
    }
    let committed = account.bucket.lent() + account.bucket.held() + entry.cost;
    let horizon = now + settings.dispatch_wait;
    let assured = state
        .rights
        .assured_until(id, account, committed, horizon, settings);
    (assured > now).then(|| assured.min(horizon))
}

fn grant_tokens(
    state: &mut LimitState,
    id: &AccountId,
    entry: QueueEntry,
    deadline: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let is_held = !state.settings.has(LimitMutation::ReserveWithoutHold);
    let with_capacity = !state.settings.has(LimitMutation::LendWithoutCapacity);
    let Some(account) = state.accounts.get_mut(id) else {
        return;
    };
    match entry.claimant {
        Claimant::Local(ticket) => {
            account.bucket.reserve(entry.cost, is_held);
            if let Some(TicketState::Waiting(waiting)) = state.tickets.remove(&ticket) {
                let admitted = TicketState::Admitted(waiting.admit());
                state.tickets.insert(ticket, admitted);
            }
            outbox.admit(ticket, deadline);
        }
        Claimant::Remote {
            vm,
            channel,
            ticket,
        } => {
            let Some(lent) = account.lent.get_mut(&(vm.clone(), channel)) else {
                return;
            };
            lent.grant(entry.cost, deadline);
            lent.decided.insert(ticket);
            account.bucket.lend(entry.cost, with_capacity);
            outbox.grant(&vm, id, channel);
        }
    }
}

fn refuse_inactive(state: &mut LimitState, id: &AccountId, outbox: &mut EffectOutbox) {
    let Some(account) = state.accounts.get_mut(id) else {
        return;
    };
    if account.limit.is_some() {
        return;
    }
    let entries = std::mem::take(&mut account.queue);
    for entry in entries.into_values() {
        refuse(state, id, entry, RefusalReason::NoAccount, None, outbox);
    }
}

fn refuse_expired(
    state: &mut LimitState,
    id: &AccountId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let Some(account) = state.accounts.get(id) else {
        return;
    };
    let is_expired = |entry: &&QueueEntry| entry.deadline <= now;
    if !account.queue.values().any(|entry| is_expired(&entry)) {
        return;
    }
    let reachable = upstream::reachable_tokens(state, account, now);
    let keys: Vec<QueueKey> = account
        .queue
        .iter()
        .filter(|(_, entry)| entry.deadline <= now)
        .map(|(key, _)| *key)
        .collect();
    for key in keys {
        let wait = estimate_wait(state, id, &key, &reachable);
        remove_and_refuse(state, id, &key, RefusalReason::OverRate, wait, outbox);
    }
}

fn refuse_unservable(
    state: &mut LimitState,
    id: &AccountId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let Some(account) = state.accounts.get(id) else {
        return;
    };
    if account.queue.is_empty() {
        return;
    }
    let reachable = upstream::reachable_tokens(state, account, now);
    if !reachable.is_complete {
        return;
    }
    for (key, reason) in find_unservable(account, &reachable.total, now, &state.settings) {
        let wait = estimate_wait(state, id, &key, &reachable);
        remove_and_refuse(state, id, &key, reason, wait, outbox);
    }
}

fn find_unservable(
    account: &AccountState,
    total: &LevelHint,
    now: LocalTime,
    settings: &LimitSettings,
) -> Vec<(QueueKey, RefusalReason)> {
    let mut needed = TokenCount::ZERO;
    let mut unservable = Vec::new();
    let slack = settings.retry_interval;
    for (key, entry) in &account.queue {
        let time_left = now.until(entry.deadline) + slack;
        let most = total.level + total.rate.accrue(time_left);
        if entry.cost > total.capacity {
            unservable.push((*key, RefusalReason::OutOfReach));
        } else if needed + entry.cost > most {
            unservable.push((*key, RefusalReason::OverRate));
        } else {
            needed += entry.cost;
        }
    }
    unservable
}

/// Estimates the time until the request could be admitted after those ahead of it;
/// `unknown_retry` if that cannot be estimated.
fn estimate_wait(
    state: &LimitState,
    id: &AccountId,
    key: &QueueKey,
    reachable: &ReachableTokens,
) -> TimeSpan {
    let unknown = state.settings.unknown_retry;
    let Some(account) = state.accounts.get(id) else {
        return unknown;
    };
    let Some(entry) = account.queue.get(key) else {
        return unknown;
    };
    let ahead: TokenCount = account
        .queue
        .range(..key)
        .map(|(_, entry)| entry.cost)
        .sum();
    let missing = (ahead + entry.cost).saturating_sub(reachable.total.level);
    let is_known = reachable.is_complete && entry.cost <= reachable.total.capacity;
    match reachable.total.rate.time_for(missing) {
        Some(wait) if is_known => wait.max(MIN_RETRY_AFTER),
        _ => unknown,
    }
}

fn remove_and_refuse(
    state: &mut LimitState,
    id: &AccountId,
    key: &QueueKey,
    reason: RefusalReason,
    wait: TimeSpan,
    outbox: &mut EffectOutbox,
) {
    let Some(account) = state.accounts.get_mut(id) else {
        return;
    };
    if let Some(entry) = account.queue.remove(key) {
        refuse(state, id, entry, reason, Some(wait), outbox);
    }
}

/// Refuses an entry that was removed from the queue.
pub(super) fn refuse(
    state: &mut LimitState,
    id: &AccountId,
    entry: QueueEntry,
    reason: RefusalReason,
    wait: Option<TimeSpan>,
    outbox: &mut EffectOutbox,
) {
    match entry.claimant {
        Claimant::Local(ticket) => {
            state.tickets.remove(&ticket);
            outbox.refuse(ticket, reason, wait);
        }
        Claimant::Remote {
            vm,
            channel,
            ticket,
        } => {
            let account = state.accounts.get_mut(id);
            if let Some(lent) = account.and_then(|a| a.lent.get_mut(&(vm.clone(), channel))) {
                lent.decided.insert(ticket);
            }
            let denial = RequestDenial {
                ticket,
                reason,
                retry_after: wait.unwrap_or(state.settings.unknown_retry),
            };
            outbox.deny(&vm, id, channel, denial);
        }
    }
}
