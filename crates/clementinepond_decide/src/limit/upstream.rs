//! Asking other VMs for tokens.
//!
//! A VM passes its waiting requests to the account's home in its data
//! centre, which orders them with those of other VMs. A home that is short,
//! or a VM whose home does not answer, gathers tokens from the account's
//! homes in other data centres, one at a time.

use super::account::{AccountState, AskRound, Claimant, PeerAnswer};
use super::lot::BorrowedChannel;
use super::message::LevelHint;
use super::outbox::EffectOutbox;
use super::state::LimitState;
use clementinepond_types::{AccountId, LocalTime, TimeSpan, TokenCount, VmId};
use std::cmp::Reverse;

/// Retry intervals between two rounds of questions to other homes.
const ROUND_INTERVALS: u64 = 3;
/// Doublings of the interval between repeated questions to a home.
const REPEAT_DOUBLINGS: u32 = 4;

/// What is known to be within reach.
#[derive(Debug)]
pub(super) struct KnownReach {
    pub(super) total: LevelHint,
    pub(super) is_complete: bool,
}

/// Returns the VM that orders the account's requests, if it is another one.
fn orderer<'a>(state: &LimitState, account: &'a AccountState, now: LocalTime) -> Option<&'a VmId> {
    state
        .rights
        .home(account)
        .filter(|home| **home != state.rights.vm)
        .filter(|home| state.peers.is_reachable(home, now, &state.settings))
}

/// Lists the account's homes in the other data centres.
fn other_homes(state: &LimitState, account: &AccountState) -> Vec<VmId> {
    state
        .remote
        .iter()
        .filter_map(|list| list.home(account.hash))
        .filter(|home| **home != state.rights.vm)
        .cloned()
        .collect()
}

/// Asks for what the waiting requests lack.
pub(super) fn ask(
    state: &mut LimitState,
    id: &AccountId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let Some(account) = state.accounts.get_mut(id) else {
        return;
    };
    if account.shortfall() == TokenCount::ZERO {
        account.round = AskRound::default();
        return;
    }
    let Some(account) = state.accounts.get(id) else {
        return;
    };
    match orderer(state, account, now).cloned() {
        Some(home) => ask_home(state, id, &home, now, outbox),
        None => {
            probe_home(state, id, now, outbox);
            gather(state, id, now, outbox);
        }
    }
}

/// Tries an unreachable home again when a probe is due.
fn probe_home(state: &mut LimitState, id: &AccountId, now: LocalTime, outbox: &mut EffectOutbox) {
    let home = state.home(id).cloned();
    let Some(home) = home.filter(|home| *home != state.rights.vm) else {
        return;
    };
    if state.peers.is_askable(&home, now, &state.settings) {
        send(state, id, &home, now, outbox);
    }
}

fn ask_home(
    state: &mut LimitState,
    id: &AccountId,
    home: &VmId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let interval = state.settings.retry_interval;
    let Some(account) = state.accounts.get_mut(id) else {
        return;
    };
    let is_local = |claimant: &Claimant| matches!(claimant, Claimant::Local(_));
    if !account
        .queue
        .values()
        .any(|entry| is_local(&entry.claimant))
    {
        return;
    }
    let round = &mut account.round;
    round.answers.clear();
    if round.repeat_at.is_some_and(|at| now < at) {
        return;
    }
    let doublings = round.repeats.min(REPEAT_DOUBLINGS);
    round.repeat_at = Some(now + TimeSpan::from_micros(interval.micros() << doublings));
    round.repeats += 1;
    send(state, id, home, now, outbox);
}

fn gather(state: &mut LimitState, id: &AccountId, now: LocalTime, outbox: &mut EffectOutbox) {
    let interval = state.settings.retry_interval;
    let round_span = TimeSpan::from_micros(interval.micros() * ROUND_INTERVALS);
    let Some(account) = state.accounts.get(id) else {
        return;
    };
    let homes = other_homes(state, account);
    let Some(account) = state.accounts.get_mut(id) else {
        return;
    };
    let round = &mut account.round;
    if round
        .started_at
        .is_none_or(|started| started + round_span <= now)
    {
        for answer in round.answers.values_mut() {
            answer.hint = None;
        }
        round.started_at = Some(now);
    }
    let is_waiting = round
        .answers
        .values()
        .any(|answer| answer.hint.is_none() && now < answer.asked_at + interval);
    if is_waiting {
        return;
    }
    let Some(home) = choose(state, id, &homes, now) else {
        return;
    };
    let answer = PeerAnswer {
        asked_at: now,
        hint: None,
    };
    if let Some(account) = state.accounts.get_mut(id) {
        account.round.answers.insert(home.clone(), answer);
    }
    send(state, id, &home, now, outbox);
}

/// Picks the next home to ask in this round.
fn choose(state: &LimitState, id: &AccountId, homes: &[VmId], now: LocalTime) -> Option<VmId> {
    let round = &state.accounts.get(id)?.round;
    let interval = state.settings.retry_interval;
    let is_due = |home: &&VmId| match round.answers.get(*home) {
        Some(answer) => answer.hint.is_none() && answer.asked_at + interval <= now,
        None => true,
    };
    homes
        .iter()
        .filter(is_due)
        .filter(|home| state.peers.is_askable(home, now, &state.settings))
        .min_by_key(|home| {
            Reverse(
                round
                    .answers
                    .get(*home)
                    .map(|answer| Reverse(answer.asked_at)),
            )
        })
        .cloned()
}

fn send(
    state: &mut LimitState,
    id: &AccountId,
    to: &VmId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let fresh = state.next_channel_id();
    if let Some(account) = state.accounts.get_mut(id) {
        account
            .borrowed
            .entry(to.clone())
            .or_insert_with(|| BorrowedChannel::new(fresh, now));
    }
    state.channels.insert(id.clone());
    state.peers.asked(to, now, &state.settings);
    outbox.report(to, id);
}

/// Returns what this VM and the VMs that answered have.
pub(super) fn known_reach(
    state: &LimitState,
    account: &AccountState,
    now: LocalTime,
) -> KnownReach {
    let bucket = &account.bucket;
    let mut total = LevelHint {
        level: bucket.level(),
        rate: bucket.rate(),
        capacity: bucket.slice() + bucket.borrowed(),
    };
    if orderer(state, account, now).is_some() {
        return KnownReach {
            total,
            is_complete: false,
        };
    }
    let mut is_complete = state.is_started();
    for home in other_homes(state, account) {
        match account
            .round
            .answers
            .get(&home)
            .and_then(|answer| answer.hint)
        {
            Some(hint) => {
                total.level += hint.level;
                total.rate += hint.rate;
                total.capacity += hint.capacity;
            }
            None if state.peers.is_reachable(&home, now, &state.settings) => is_complete = false,
            None => {}
        }
    }
    KnownReach { total, is_complete }
}
