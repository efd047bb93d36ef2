//! Requests the claims of calls that this VM received and reports their runs.

use super::effect::{ClaimEffect, ClaimRefusal, UnknownReason};
use super::event::RunOutcome;
use super::key::{BodyFingerprint, ClaimKey, KeyDate};
use super::message::{ClaimMessage, OwnerReply, RunReport};
use super::record::ClaimTicket;
use super::settings::{ClaimMutation, ClaimSettings};
use super::state::ClaimState;
use super::ticket::{CallTicket, Closed, Granted, Reporting, Requesting, TicketEntry};
use clementinepond_types::LocalTime;

/// Registers a call and sends its claim request.
pub(crate) fn request(
    state: &mut ClaimState,
    ticket: ClaimTicket,
    key: ClaimKey,
    fingerprint: BodyFingerprint,
    date: KeyDate,
    deadline: LocalTime,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    if let Some(reason) = date_refusal(&state.settings, date) {
        return vec![ClaimEffect::Refused { ticket, reason }];
    }
    if state.tickets.contains_key(&ticket) {
        return Vec::new();
    }
    let limit = now + state.settings.ask_limit;
    let call = CallTicket {
        key,
        fingerprint,
        date,
        deadline: deadline.min(limit),
        stage: Requesting {
            next_send: now,
            owner_deadline: now + state.settings.owner_wait,
            joined: false,
        },
    };
    state.tickets.insert(ticket, TicketEntry::Requesting(call));
    advance(state, ticket, now)
}

fn date_refusal(settings: &ClaimSettings, date: KeyDate) -> Option<ClaimRefusal> {
    match date {
        KeyDate::Undated => None,
        _ if settings.mutation == ClaimMutation::AcceptOldKey => None,
        KeyDate::Past(age) if age >= settings.dated_retention => Some(ClaimRefusal::KeyTooOld),
        KeyDate::Past(_) => None,
        KeyDate::Future(ahead) if ahead > settings.clock_margin => {
            Some(ClaimRefusal::KeyFromFuture)
        }
        KeyDate::Future(_) => None,
    }
}

/// Sends the message that is due for a call, or ends the call at its deadline.
pub(crate) fn advance(
    state: &mut ClaimState,
    ticket: ClaimTicket,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    match state.tickets.get(&ticket) {
        Some(TicketEntry::Requesting(call)) => {
            if now >= call.deadline {
                return fail(state, ticket, ClaimRefusal::DeadlinePassed, now);
            }
            if now >= call.stage.owner_deadline && !call.stage.joined {
                return fail(state, ticket, ClaimRefusal::OwnerUnreachable, now);
            }
        }
        Some(TicketEntry::Reporting(call)) if now >= call.stage.until => {
            state.tickets.remove(&ticket);
        }
        Some(TicketEntry::Closed(call)) if now >= call.stage.until => {
            state.tickets.remove(&ticket);
        }
        _ => {}
    }
    send_due(state, ticket, now)
}

fn send_due(state: &mut ClaimState, ticket: ClaimTicket, now: LocalTime) -> Vec<ClaimEffect> {
    let resend_at = now + state.settings.resend_interval;
    let shard_count = state.settings.shard_count;
    let holder = state.holder(ticket);
    let (shard, message) = match state.tickets.get_mut(&ticket) {
        Some(TicketEntry::Requesting(call)) if now >= call.stage.next_send => {
            call.stage.next_send = resend_at;
            let message = ClaimMessage::Request {
                holder,
                key: call.key,
                fingerprint: call.fingerprint,
                date: call.date,
                time_left: now.until(call.deadline),
            };
            (call.key.shard(shard_count), message)
        }
        Some(TicketEntry::Reporting(call)) if now >= call.stage.next_send => {
            call.stage.next_send = resend_at;
            let report = call.stage.report.clone();
            (
                call.key.shard(shard_count),
                report_message(call, holder, report),
            )
        }
        Some(TicketEntry::Closed(call)) if now >= call.stage.next_send => {
            call.stage.next_send = resend_at;
            let message = report_message(call, holder, RunReport::NotRun);
            (call.key.shard(shard_count), message)
        }
        _ => return Vec::new(),
    };
    match state.owner(shard) {
        Some(to) => vec![ClaimEffect::Send { to, message }],
        None => Vec::new(),
    }
}

fn report_message<S>(
    call: &CallTicket<S>,
    holder: super::record::RunHolder,
    report: RunReport,
) -> ClaimMessage {
    ClaimMessage::Report {
        holder,
        key: call.key,
        fingerprint: call.fingerprint,
        dated: call.date.is_dated(),
        report,
    }
}

/// Ends a call that was not granted and notifies the I/O layer.
///
/// The outcome is unknown if another call under the key was running, and a refusal
/// otherwise.
fn fail(
    state: &mut ClaimState,
    ticket: ClaimTicket,
    reason: ClaimRefusal,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let joined = match state.tickets.get(&ticket) {
        Some(TicketEntry::Requesting(call)) => call.stage.joined,
        _ => return Vec::new(),
    };
    let end = if joined {
        ClaimEffect::Unknown {
            ticket,
            reason: UnknownReason::StillRunning,
        }
    } else {
        ClaimEffect::Refused { ticket, reason }
    };
    let mut effects = close(state, ticket, now, now);
    effects.push(end);
    effects
}

/// Closes a call that did not run; reports `NotRun` from `report_at` on.
fn close(
    state: &mut ClaimState,
    ticket: ClaimTicket,
    report_at: LocalTime,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let stage = Closed {
        next_send: report_at,
        until: now + state.settings.report_limit,
    };
    let closed = match state.tickets.remove(&ticket) {
        Some(TicketEntry::Requesting(call)) => call.enter(stage),
        Some(TicketEntry::Granted(call)) => call.enter(stage),
        Some(TicketEntry::Closed(call)) => call.enter(stage),
        Some(other @ TicketEntry::Reporting(_)) => {
            state.tickets.insert(ticket, other);
            return Vec::new();
        }
        None => return Vec::new(),
    };
    state.tickets.insert(ticket, TicketEntry::Closed(closed));
    send_due(state, ticket, now)
}

/// Processes the owner's answer to a claim request.
pub(crate) fn answered(
    state: &mut ClaimState,
    ticket: ClaimTicket,
    reply: OwnerReply,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    match state.tickets.get_mut(&ticket) {
        Some(TicketEntry::Requesting(call)) => {
            if reply == OwnerReply::Joined {
                call.stage.joined = true;
                return Vec::new();
            }
        }
        Some(TicketEntry::Closed(call)) if reply == OwnerReply::Granted => {
            if state.settings.mutation == ClaimMutation::GrantClosedTicket {
                let deadline = LocalTime::NEVER;
                return vec![ClaimEffect::Granted { ticket, deadline }];
            }
            call.stage.next_send = now;
            return send_due(state, ticket, now);
        }
        _ => return Vec::new(),
    }
    match reply {
        OwnerReply::Granted => grant(state, ticket, now),
        OwnerReply::Joined => Vec::new(),
        OwnerReply::Replay(answer) => {
            finish(state, ticket, ClaimEffect::Replay { ticket, answer }, now)
        }
        OwnerReply::Unknown => {
            let reason = UnknownReason::OutcomeLost;
            finish(state, ticket, ClaimEffect::Unknown { ticket, reason }, now)
        }
        OwnerReply::Refused(reason) => {
            finish(state, ticket, ClaimEffect::Refused { ticket, reason }, now)
        }
    }
}

fn grant(state: &mut ClaimState, ticket: ClaimTicket, now: LocalTime) -> Vec<ClaimEffect> {
    let Some(TicketEntry::Requesting(call)) = state.tickets.get(&ticket) else {
        return Vec::new();
    };
    if now >= call.deadline {
        return fail(state, ticket, ClaimRefusal::DeadlinePassed, now);
    }
    let deadline = call.deadline;
    let call = call.clone().enter(Granted);
    state.tickets.insert(ticket, TicketEntry::Granted(call));
    vec![ClaimEffect::Granted { ticket, deadline }]
}

fn finish(
    state: &mut ClaimState,
    ticket: ClaimTicket,
    end: ClaimEffect,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    // The owner holds no claim for this call; only a late grant needs a report.
    let mut effects = close(state, ticket, LocalTime::NEVER, now);
    effects.push(end);
    effects
}

/// Processes the end of a run and starts its report.
pub(crate) fn ended(
    state: &mut ClaimState,
    ticket: ClaimTicket,
    outcome: RunOutcome,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let limit = state.settings.answer_limit;
    let outcome = match outcome {
        RunOutcome::Answered(answer) => {
            RunOutcome::Answered(answer.filter(|answer| answer.size() <= limit))
        }
        RunOutcome::Unknown => RunOutcome::Unknown,
    };
    let Some(TicketEntry::Granted(call)) = state.tickets.get(&ticket) else {
        return Vec::new();
    };
    let call = call.clone().enter(Reporting {
        report: RunReport::Ended(outcome),
        next_send: now,
        until: now + state.settings.report_limit,
    });
    state.tickets.insert(ticket, TicketEntry::Reporting(call));
    send_due(state, ticket, now)
}

/// Processes the I/O layer's notice that a granted call did not run.
pub(crate) fn not_dispatched(
    state: &mut ClaimState,
    ticket: ClaimTicket,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    match state.tickets.get(&ticket) {
        Some(TicketEntry::Granted(_)) => close(state, ticket, now, now),
        _ => Vec::new(),
    }
}

/// Ends a call whose caller disconnected before the grant.
pub(crate) fn abandoned(
    state: &mut ClaimState,
    ticket: ClaimTicket,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    fail(state, ticket, ClaimRefusal::Abandoned, now)
}

/// Stops resending a report that the owner acknowledged.
pub(crate) fn acknowledged(state: &mut ClaimState, ticket: ClaimTicket) -> Vec<ClaimEffect> {
    match state.tickets.get_mut(&ticket) {
        Some(TicketEntry::Reporting(_)) => {
            state.tickets.remove(&ticket);
        }
        Some(TicketEntry::Closed(call)) => call.stage.next_send = LocalTime::NEVER,
        _ => {}
    }
    Vec::new()
}
