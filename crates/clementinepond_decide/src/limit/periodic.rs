//! Periodic work: polls, waiting requests, returns and renewals of lots.

use super::account::AccountState;
use super::loan;
use super::outbox::EffectOutbox;
use super::serve;
use super::settings::{LimitMutation, LimitSettings};
use super::slice::PartRights;
use super::state::LimitState;
use clementinepond_types::{AccountId, LocalTime, TimeSpan, TokenCount, VmId};
use std::collections::BTreeMap;

/// Share of a channel that is worth a return of its own.
const RETURN_PARTS: u64 = 1;
/// Whole of that share.
const RETURN_WHOLE: u64 = 2;

/// Does what is due.
pub(super) fn tick(state: &mut LimitState, now: LocalTime, outbox: &mut EffectOutbox) {
    loan::poll_due(state, now, outbox);
    let busy: Vec<AccountId> = state.busy.iter().cloned().collect();
    for id in busy {
        serve::serve_at(state, &id, now, outbox);
    }
    if state.report_at <= now {
        state.report_at = now + state.settings.report_interval;
        report_all(state, now, outbox);
    }
    if state.releasing && is_free(state) {
        outbox.released();
    }
}

fn report_all(state: &mut LimitState, now: LocalTime, outbox: &mut EffectOutbox) {
    let half = state.lot_span().fraction(1, 2);
    let ids: Vec<AccountId> = state.channels.iter().cloned().collect();
    for id in ids {
        let Some(account) = state.accounts.get_mut(&id) else {
            continue;
        };
        account.settle(now, &state.settings);
        drop_abandoned(account, now, &state.settings);
        let most = returnable(&id, account, &state.rights, &state.settings);
        let due = return_unused(account, &most, half, now);
        if account.is_quiet() {
            state.channels.remove(&id);
        }
        for (peer, is_answered) in due {
            if is_answered {
                state.peers.asked(&peer, now, &state.settings);
            }
            outbox.report(&peer, &id);
        }
    }
}

fn drop_abandoned(account: &mut AccountState, now: LocalTime, settings: &LimitSettings) {
    account
        .borrowed
        .retain(|_, channel| !channel.is_abandoned(now, settings.lot_span));
}

/// Returns how much capacity each channel may give back without leaving
/// lots that this VM has lent unbacked.
fn returnable(
    id: &AccountId,
    account: &AccountState,
    rights: &PartRights,
    settings: &LimitSettings,
) -> BTreeMap<VmId, TokenCount> {
    let lapse = account.lent.values().map(|channel| channel.deadline).max();
    let lent = account.bucket.lent();
    account
        .borrowed
        .iter()
        .map(|(peer, channel)| {
            let (Some(lapse), Some(deadline)) = (lapse, channel.deadline()) else {
                return (peer.clone(), channel.outstanding());
            };
            let moment = lapse.min(deadline);
            let assured = rights.assured_amount(id, account, moment, settings);
            (peer.clone(), assured.saturating_sub(lent))
        })
        .collect()
}

/// Returns unused capacity and tokens; lists the VMs to report to, and
/// whether each of them will answer.
fn return_unused(
    account: &mut AccountState,
    most: &BTreeMap<VmId, TokenCount>,
    half: TimeSpan,
    now: LocalTime,
) -> Vec<(VmId, bool)> {
    let mut due = Vec::new();
    let is_idle = account.queue.is_empty();
    let bucket = &mut account.bucket;
    let mut returned = TokenCount::ZERO;
    for (peer, channel) in &mut account.borrowed {
        let most = most.get(peer).copied().unwrap_or_default();
        let left = most.saturating_sub(returned);
        let capacity = channel.outstanding().min(bucket.room()).min(left);
        let level = if is_idle {
            bucket
                .level()
                .min(channel.outstanding().saturating_sub(capacity))
                .min(left.saturating_sub(capacity))
        } else {
            TokenCount::ZERO
        };
        let is_ageing = channel
            .deadline()
            .is_some_and(|deadline| now.until(deadline) < half);
        let back = capacity + level;
        let is_worthwhile = back > TokenCount::ZERO
            && back >= channel.outstanding().fraction(RETURN_PARTS, RETURN_WHOLE);
        if is_worthwhile || is_ageing {
            returned += back;
            channel.give_back(back, level);
            bucket.give_up(back, level);
        }
        let is_lasting = channel.outstanding() > TokenCount::ZERO;
        if is_worthwhile || (is_lasting && is_ageing) {
            due.push((peer.clone(), is_lasting));
        }
    }
    due
}

/// Returns whether nothing of this VM is in other hands, or theirs in its.
fn is_free(state: &LimitState) -> bool {
    let is_settled = |account: &AccountState| account.lent.is_empty() && account.queue.is_empty();
    let is_waited = state.is_started() || state.settings.has(LimitMutation::ReleaseEarly);
    is_waited
        && state.rights.lent.is_empty()
        && state.tickets.is_empty()
        && state.accounts.values().all(is_settled)
}
