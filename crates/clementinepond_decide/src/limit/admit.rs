//! Admission, progress and end of requests on this VM.

use super::account::{Claimant, QueueEntry};
use super::effect::RefusalReason;
use super::event::{AdmissionRequest, TicketId};
use super::outbox::EffectOutbox;
use super::reservation::{Ticket, TicketState, Waiting};
use super::serve;
use super::settings::LimitMutation;
use super::state::LimitState;
use clementinepond_types::{LocalTime, TokenCount};

/// Queues a request for its account, or refuses it at once.
pub(super) fn request(
    state: &mut LimitState,
    request: AdmissionRequest,
    now: LocalTime,
    outbox: &mut EffectOutbox,
) {
    if state.tickets.contains_key(&request.ticket) {
        return;
    }
    let cost = request.prompt + request.output;
    let account = state.accounts.get_mut(&request.account);
    let Some((account, limit)) = account.and_then(|account| {
        let limit = account.limit?;
        Some((account, limit))
    }) else {
        return outbox.refuse(request.ticket, RefusalReason::NoAccount, None);
    };
    if cost > limit.burst {
        let reason = RefusalReason::LargerThanBurst {
            cost,
            burst: limit.burst,
        };
        return outbox.refuse(request.ticket, reason, None);
    }
    account.advance(now, &state.settings);
    let entry = QueueEntry {
        claimant: Claimant::Local(request.ticket),
        cost,
        deadline: request.deadline.min(now + state.settings.queue_wait),
    };
    let ticket = Ticket {
        account: request.account.clone(),
        prompt: request.prompt,
        output: request.output,
        state: Waiting {
            key: account.enqueue(request.priority, entry),
        },
    };
    // The owner is sent the new request at once, whatever the retry interval.
    account.round.retry_at = None;
    state
        .tickets
        .insert(request.ticket, TicketState::Waiting(ticket));
    serve::serve(state, &request.account, now, outbox);
}

/// Marks the prompt's tokens as spent and frees the capacity held for them.
pub(super) fn started(state: &mut LimitState, ticket: TicketId) {
    progress(state, ticket, TokenCount::ZERO);
}

/// Marks the prompt and the generated tokens as spent and frees the capacity
/// held for them.
pub(super) fn progress(state: &mut LimitState, ticket: TicketId, generated: TokenCount) {
    let Some(TicketState::Admitted(ticket)) = state.tickets.get_mut(&ticket) else {
        return;
    };
    let spent = ticket.spend_up_to(ticket.prompt + generated);
    if state.settings.has(LimitMutation::ReserveWithoutHold) {
        return;
    }
    if let Some(account) = state.accounts.get_mut(&ticket.account) {
        account.bucket.spend(spent);
    }
}

/// Ends an admission: refunds reserved tokens that are neither used nor marked as
/// spent, and charges those used beyond the reservation.
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
                account.advance(now, &state.settings);
            }
            serve::serve(state, &ticket.account, now, outbox);
        }
        Some(TicketState::Admitted(mut ticket)) => {
            let Some(account) = state.accounts.get_mut(&ticket.account) else {
                return;
            };
            account.advance(now, &state.settings);
            let spent = ticket.spend_up_to(used);
            let excess = used.saturating_sub(ticket.cost());
            account.bucket.spend(spent);
            account.bucket.refund(ticket.unspent());
            account.bucket.overdraw(excess);
            serve::serve(state, &ticket.account, now, outbox);
        }
    }
}
