//! Handing tokens to waiting requests, in the order of the queue.
//!
//! A request that cannot be admitted before its deadline, as far as this VM
//! and the VMs that it asked can know, is refused at once.

use super::account::{AccountState, Claimant, QueueEntry, QueueKey};
use super::effect::RefusalReason;
use super::message::{ItemDenial, LevelHint};
use super::outbox::EffectOutbox;
use super::reservation::TicketState;
use super::settings::{LimitMutation, LimitSettings};
use super::state::LimitState;
use super::upstream::{self, KnownReach};
use clementinepond_types::{AccountId, LocalTime, TimeSpan, TokenCount};

/// Shortest `Retry-After`.
const RETRY_FLOOR: TimeSpan = TimeSpan::from_millis(100);

/// Admits what the bucket allows, refuses what is hopeless and asks others.
///
/// The account must be settled as of `now`.
pub(super) fn serve(
    state: &mut LimitState,
    id: &AccountId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    refuse_withdrawn(state, id, outbox);
    refuse_expired(state, id, now, outbox);
    give_in_order(state, id, now, outbox);
    upstream::ask(state, id, now, outbox);
    refuse_hopeless(state, id, now, outbox);
    let is_busy = state
        .accounts
        .get(id)
        .is_some_and(|account| !account.queue.is_empty());
    if is_busy {
        state.busy.insert(id.clone());
    } else {
        state.busy.remove(id);
    }
}

/// Settles an account and serves it.
pub(super) fn serve_at(
    state: &mut LimitState,
    id: &AccountId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    if let Some(account) = state.accounts.get_mut(id) {
        account.settle(now, &state.settings);
    }
    serve(state, id, now, outbox);
}

fn give_in_order(
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
        give(state, id, entry, deadline, outbox);
    }
}

/// Returns how long an admission of the first entry would last, if possible.
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
            true => state.lot_deadline(id, &key, entry.cost, now),
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

fn give(
    state: &mut LimitState,
    id: &AccountId,
    entry: QueueEntry,
    deadline: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let is_held = !state.settings.has(LimitMutation::ForgetHolds);
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

fn refuse_withdrawn(state: &mut LimitState, id: &AccountId, outbox: &mut EffectOutbox) {
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
    let reach = upstream::known_reach(state, account, now);
    let keys: Vec<QueueKey> = account
        .queue
        .iter()
        .filter(|(_, entry)| entry.deadline <= now)
        .map(|(key, _)| *key)
        .collect();
    for key in keys {
        let wait = estimate_wait(state, id, &key, &reach);
        take_out(state, id, &key, RefusalReason::OverRate, wait, outbox);
    }
}

fn refuse_hopeless(
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
    let reach = upstream::known_reach(state, account, now);
    if !reach.is_complete {
        return;
    }
    for (key, reason) in find_hopeless(account, &reach.total, now, &state.settings) {
        let wait = estimate_wait(state, id, &key, &reach);
        take_out(state, id, &key, reason, wait, outbox);
    }
}

fn find_hopeless(
    account: &AccountState,
    total: &LevelHint,
    now: LocalTime,
    settings: &LimitSettings,
) -> Vec<(QueueKey, RefusalReason)> {
    let mut needed = TokenCount::ZERO;
    let mut hopeless = Vec::new();
    let slack = settings.retry_interval;
    for (key, entry) in &account.queue {
        let time_left = now.until(entry.deadline) + slack;
        let most = total.level + total.rate.accrue(time_left);
        if entry.cost > total.capacity {
            hopeless.push((*key, RefusalReason::OutOfReach));
        } else if needed + entry.cost > most {
            hopeless.push((*key, RefusalReason::OverRate));
        } else {
            needed += entry.cost;
        }
    }
    hopeless
}

/// Works out when the request could be admitted behind those before it.
fn estimate_wait(
    state: &LimitState,
    id: &AccountId,
    key: &QueueKey,
    reach: &KnownReach,
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
    let missing = (ahead + entry.cost).saturating_sub(reach.total.level);
    let is_known = reach.is_complete && entry.cost <= reach.total.capacity;
    match reach.total.rate.time_for(missing) {
        Some(wait) if is_known => wait.max(RETRY_FLOOR),
        _ => unknown,
    }
}

fn take_out(
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

/// Refuses one entry that was taken out of the queue.
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
            let denial = ItemDenial {
                ticket,
                reason,
                retry_after: wait.unwrap_or(state.settings.unknown_retry),
            };
            outbox.deny(&vm, id, channel, denial);
        }
    }
}
