//! Requests to other VMs for missing tokens.
//!
//! A VM reports its waiting requests to the account's owner in its data centre,
//! which queues them with those of other VMs. An owner that is short of tokens,
//! or a VM whose owner does not answer, requests tokens from the account's
//! owners in other data centres, one at a time.

use super::account::{AccountState, Claimant, PeerAnswer, RequestRound};
use super::message::LevelHint;
use super::outbox::EffectOutbox;
use super::state::LimitState;
use super::token_loan::BorrowedChannel;
use clementinepond_types::{AccountId, LocalTime, TimeSpan, TokenCount, VmId};
use std::cmp::Reverse;

/// Length of a round of requests to owners in other data centres, in retry
/// intervals.
const ROUND_RETRY_INTERVALS: u64 = 3;
/// Most doublings of the interval between requests to the owner in this data centre.
const RETRY_DOUBLINGS: u32 = 4;

/// Tokens known to be available here and at the VMs that answered.
#[derive(Debug)]
pub(super) struct ReachableTokens {
    pub(super) total: LevelHint,
    /// Whether this VM may use its parts and every reachable VM that could lend tokens
    /// has answered; always `false` while the owner is another, reachable VM.
    pub(super) is_complete: bool,
}

/// Returns the account's owner, when that is another VM and reachable.
fn reachable_owner<'a>(
    state: &LimitState,
    account: &'a AccountState,
    now: LocalTime,
) -> Option<&'a VmId> {
    state
        .rights
        .owner(account)
        .filter(|owner| **owner != state.rights.vm)
        .filter(|owner| state.peers.is_reachable(owner, now, &state.settings))
}

/// Lists the account's owners in the other data centres.
fn remote_owners(state: &LimitState, account: &AccountState) -> Vec<VmId> {
    state
        .remote
        .iter()
        .filter_map(|list| list.owner(account.hash))
        .filter(|owner| **owner != state.rights.vm)
        .cloned()
        .collect()
}

/// Requests the tokens that the waiting requests lack.
pub(super) fn request_tokens(
    state: &mut LimitState,
    id: &AccountId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let Some(account) = state.accounts.get_mut(id) else {
        return;
    };
    if account.shortfall() == TokenCount::ZERO {
        account.round = RequestRound::default();
        return;
    }
    let Some(account) = state.accounts.get(id) else {
        return;
    };
    match reachable_owner(state, account, now).cloned() {
        Some(owner) => request_from_owner(state, id, &owner, now, outbox),
        None => {
            probe_owner(state, id, now, outbox);
            request_from_remote_owners(state, id, now, outbox);
        }
    }
}

/// Reports to an unreachable owner again when a probe is due.
fn probe_owner(state: &mut LimitState, id: &AccountId, now: LocalTime, outbox: &mut EffectOutbox) {
    let owner = state.owner(id).cloned();
    let Some(owner) = owner.filter(|owner| *owner != state.rights.vm) else {
        return;
    };
    if state.peers.may_contact(&owner, now, &state.settings) {
        send_report(state, id, &owner, now, outbox);
    }
}

fn request_from_owner(
    state: &mut LimitState,
    id: &AccountId,
    owner: &VmId,
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
    if round.retry_at.is_some_and(|at| now < at) {
        return;
    }
    let doublings = round.retries.min(RETRY_DOUBLINGS);
    round.retry_at = Some(now + TimeSpan::from_micros(interval.micros() << doublings));
    round.retries += 1;
    send_report(state, id, owner, now, outbox);
}

fn request_from_remote_owners(
    state: &mut LimitState,
    id: &AccountId,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    let interval = state.settings.retry_interval;
    let round_span = TimeSpan::from_micros(interval.micros() * ROUND_RETRY_INTERVALS);
    let Some(account) = state.accounts.get(id) else {
        return;
    };
    let owners = remote_owners(state, account);
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
        .any(|answer| answer.hint.is_none() && now < answer.requested_at + interval);
    if is_waiting {
        return;
    }
    let Some(owner) = next_owner(state, id, &owners, now) else {
        return;
    };
    let answer = PeerAnswer {
        requested_at: now,
        hint: None,
    };
    if let Some(account) = state.accounts.get_mut(id) {
        account.round.answers.insert(owner.clone(), answer);
    }
    send_report(state, id, &owner, now, outbox);
}

/// Returns the next owner to send a request to in this round: one whose request is
/// unanswered, longest ago first, otherwise one without a request.
fn next_owner(state: &LimitState, id: &AccountId, owners: &[VmId], now: LocalTime) -> Option<VmId> {
    let round = &state.accounts.get(id)?.round;
    let interval = state.settings.retry_interval;
    let is_due = |owner: &&VmId| match round.answers.get(*owner) {
        Some(answer) => answer.hint.is_none() && answer.requested_at + interval <= now,
        None => true,
    };
    owners
        .iter()
        .filter(is_due)
        .filter(|owner| state.peers.may_contact(owner, now, &state.settings))
        .min_by_key(|owner| {
            Reverse(
                round
                    .answers
                    .get(*owner)
                    .map(|answer| Reverse(answer.requested_at)),
            )
        })
        .cloned()
}

fn send_report(
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
    state.channel_accounts.insert(id.clone());
    state.peers.record_request(to, now, &state.settings);
    outbox.report(to, id);
}

/// Returns the tokens of this VM and of the VMs that answered.
pub(super) fn reachable_tokens(
    state: &LimitState,
    account: &AccountState,
    now: LocalTime,
) -> ReachableTokens {
    let bucket = &account.bucket;
    let mut total = LevelHint {
        level: bucket.level(),
        rate: bucket.rate(),
        capacity: bucket.slice() + bucket.borrowed(),
    };
    if reachable_owner(state, account, now).is_some() {
        return ReachableTokens {
            total,
            is_complete: false,
        };
    }
    let mut is_complete = state.is_started();
    for owner in remote_owners(state, account) {
        match account
            .round
            .answers
            .get(&owner)
            .and_then(|answer| answer.hint)
        {
            Some(hint) => {
                total.level += hint.level;
                total.rate += hint.rate;
                total.capacity += hint.capacity;
            }
            None if state.peers.is_reachable(&owner, now, &state.settings) => is_complete = false,
            None => {}
        }
    }
    ReachableTokens { total, is_complete }
}
