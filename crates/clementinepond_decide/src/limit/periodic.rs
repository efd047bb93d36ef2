//! Periodic work: polls, waiting requests, returns and renewals of token loans.

use super::account::AccountState;
use super::outbox::EffectOutbox;
use super::poll;
use super::serve;
use super::settings::{LimitMutation, LimitSettings};
use super::slice::PartRights;
use super::state::LimitState;
use clementinepond_types::{AccountId, LocalTime, TimeSpan, TokenCount, VmId};
use std::collections::BTreeMap;

/// Numerator of the smallest share of a channel's outstanding capacity that is
/// returned while at least half of the loan's lifetime is left.
const RETURN_SHARE_NUMERATOR: u64 = 1;
/// Denominator of that share.
const RETURN_SHARE_DENOMINATOR: u64 = 2;

/// Runs the periodic work that is due.
pub(super) fn tick(state: &mut LimitState, now: LocalTime, outbox: &mut EffectOutbox) {
    poll::due(state, now, outbox);
    let waiting_accounts: Vec<AccountId> = state.waiting_accounts.iter().cloned().collect();
    for id in waiting_accounts {
        serve::serve_at(state, &id, now, outbox);
    }
    if state.report_at <= now {
        state.report_at = now + state.settings.report_interval;
        report_all(state, now, outbox);
    }
    if state.releasing && may_release(state) {
        outbox.released();
    }
}

fn report_all(state: &mut LimitState, now: LocalTime, outbox: &mut EffectOutbox) {
    let half = state.token_loan_lifetime().fraction(1, 2);
    let ids: Vec<AccountId> = state.channel_accounts.iter().cloned().collect();
    for id in ids {
        let Some(account) = state.accounts.get_mut(&id) else {
            continue;
        };
        account.advance(now, &state.settings);
        drop_unanswered(account, now, &state.settings);
        let returnable = returnable_capacity(&id, account, &state.rights, &state.settings);
        let due = return_unused(account, &returnable, half, now);
        if account.has_no_channels() {
            state.channel_accounts.remove(&id);
        }
        for (peer, is_answered) in due {
            if is_answered {
                state.peers.record_request(&peer, now, &state.settings);
            }
            outbox.report(&peer, &id);
        }
    }
}

fn drop_unanswered(account: &mut AccountState, now: LocalTime, settings: &LimitSettings) {
    account
        .borrowed
        .retain(|_, channel| !channel.is_unanswered(now, settings.lot_span));
}

/// Returns how much borrowed capacity may go back in each channel, by lender, so that
/// the token loans of this VM to others remain backed.
fn returnable_capacity(
    id: &AccountId,
    account: &AccountState,
    rights: &PartRights,
    settings: &LimitSettings,
) -> BTreeMap<VmId, TokenCount> {
    let expiry = account.lent.values().map(|channel| channel.deadline).max();
    let lent = account.bucket.lent();
    account
        .borrowed
        .iter()
        .map(|(peer, channel)| {
            let (Some(expiry), Some(deadline)) = (expiry, channel.deadline()) else {
                return (peer.clone(), channel.outstanding());
            };
            let time = expiry.min(deadline);
            let assured = rights.assured_amount(id, account, time, settings);
            (peer.clone(), assured.saturating_sub(lent))
        })
        .collect()
}

/// Gives unused capacity and tokens back to the lenders. Returns the VMs to report to,
/// each with whether it will answer.
fn return_unused(
    account: &mut AccountState,
    returnable: &BTreeMap<VmId, TokenCount>,
    half: TimeSpan,
    now: LocalTime,
) -> Vec<(VmId, bool)> {
    let mut due = Vec::new();
    let is_idle = account.queue.is_empty();
    let bucket = &mut account.bucket;
    let mut returned = TokenCount::ZERO;
    for (peer, channel) in &mut account.borrowed {
        let limit = returnable.get(peer).copied().unwrap_or_default();
        let left = limit.saturating_sub(returned);
        let capacity = channel.outstanding().min(bucket.free_capacity()).min(left);
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
            && back
                >= channel
                    .outstanding()
                    .fraction(RETURN_SHARE_NUMERATOR, RETURN_SHARE_DENOMINATOR);
        if is_worthwhile || is_ageing {
            returned += back;
            channel.record_return(back, level);
            bucket.return_borrowed(back, level);
        }
        let is_lasting = channel.outstanding() > TokenCount::ZERO;
        if is_worthwhile || (is_lasting && is_ageing) {
            due.push((peer.clone(), is_lasting));
        }
    }
    due
}

/// Returns whether the start wait is over, no request is running or waiting, and
/// this VM lends nothing.
fn may_release(state: &LimitState) -> bool {
    let is_settled = |account: &AccountState| account.lent.is_empty() && account.queue.is_empty();
    let is_waited = state.is_started() || state.settings.has(LimitMutation::ReleaseEarly);
    is_waited
        && state.rights.lent.is_empty()
        && state.tickets.is_empty()
        && state.accounts.values().all(is_settled)
}
