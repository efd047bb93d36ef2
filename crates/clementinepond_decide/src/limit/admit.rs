//! Admission, progress and end of requests on this VM.

use super::account::{Claimant, QueueEntry};
use super::effect::RefusalReason;
use super::event::{AdmissionAsk, TicketId};
use super::outbox::EffectOutbox;
use super::reservation::{Ticket, TicketState, Waiting};
use super::serve;
use super::settings::LimitMutation;
use super::state::LimitState;
use clementinepond_types::{LocalTime, TokenCount};

/// Puts a request into its account's queue, or refuses it at once.
pub(super) fn ask(
    state: &mut LimitState,
    ask: AdmissionAsk,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    if state.tickets.contains_key(&ask.ticket) {
        return;
    }
    let cost = ask.prompt + ask.output;
    let account = state.accounts.get_mut(&ask.account);
    let Some((account, limit)) = account.and_then(|account| {
        let limit = account.limit?;
        Some((account, limit))
    }) else {
        return outbox.refuse(ask.ticket, RefusalReason::NoAccount, None);
    };
    if cost > limit.burst {
        let reason = RefusalReason::LargerThanBurst {
            cost,
            burst: limit.burst,
        };
        return outbox.refuse(ask.ticket, reason, None);
    }
    account.settle(now, &state.settings);
    let entry = QueueEntry {
        claimant: Claimant::Local(ask.ticket),
        cost,
        deadline: ask.deadline.min(now + state.settings.queue_wait),
    };
    let ticket = Ticket {
        account: ask.account.clone(),
        prompt: ask.prompt,
        output: ask.output,
        state: Waiting {
            key: account.enqueue(ask.priority, entry),
        },
    };
    account.round.repeat_at = None;
    state
        .tickets
        .insert(ask.ticket, TicketState::Waiting(ticket));
    serve::serve(state, &ask.account, now, outbox);
}

/// Frees the capacity held for the prompt.
pub(super) fn started(state: &mut LimitState, ticket: TicketId) {
    progress(state, ticket, TokenCount::ZERO);
}

/// Frees the capacity held for tokens that have been generated.
pub(super) fn progress(state: &mut LimitState, ticket: TicketId, generated: TokenCount) {
    let Some(TicketState::Admitted(ticket)) = state.tickets.get_mut(&ticket) else {
        return;
    };
    let spent = ticket.spend_up_to(ticket.prompt + generated);
    if state.settings.has(LimitMutation::ForgetHolds) {
        return;
    }
    if let Some(account) = state.accounts.get_mut(&ticket.account) {
        account.bucket.spend(spent);
    }
}

/// Ends an admission and returns what was not used.
pub(super) fn settle(
    state: &mut LimitState,
    ticket: TicketId,
    used: TokenCount,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    match state.tickets.remove(&ticket) {
        None => {}
        Some(TicketState::Waiting(ticket)) => {
            if let Some(account) = state.accounts.get_mut(&ticket.account) {
                account.queue.remove(&ticket.state.key);
                account.settle(now, &state.settings);
            }
            serve::serve(state, &ticket.account, now, outbox);
        }
        Some(TicketState::Admitted(mut ticket)) => {
            let Some(account) = state.accounts.get_mut(&ticket.account) else {
                return;
            };
            account.settle(now, &state.settings);
            let spent = ticket.spend_up_to(used);
            let excess = used.saturating_sub(ticket.cost());
            account.bucket.spend(spent);
            account.bucket.refund(ticket.unspent());
            account.bucket.overdraw(excess);
            serve::serve(state, &ticket.account, now, outbox);
        }
    }
}
