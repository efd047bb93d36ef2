//! Reducer of requests.

use super::stage::{Admitted, Answering, Dispatched, Received, Request};
use super::{
    AttemptNumber, AttemptOutcome, EndReason, RequestEffect, RequestEnd, RequestEvent,
    RequestProfile, RequestStage, RequestTable,
};
use crate::route::RouteQuery;
use clementinepond_types::{LocalTime, RequestTicket, TimeSpan, TokenCount};
use std::collections::BTreeSet;

/// Longest wait between two choices of an endpoint; also the `retry_after` of a
/// request whose admission or claim expired.
const ROUTE_RETRY_MAX_WAIT: TimeSpan = TimeSpan::from_millis(250);
/// Time within which a request without an account, on a route that needs no key, must
/// start.
const OPEN_ROUTE_START_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// Applies one event to the table and returns the effects to carry out.
pub fn reduce(table: &mut RequestTable, event: RequestEvent, now: LocalTime) -> Vec<RequestEffect> {
    match event {
        RequestEvent::Arrived { ticket, profile } => arrive(table, ticket, profile, now),
        RequestEvent::Admitted { ticket, deadline } => admit(table, ticket, deadline),
        RequestEvent::ClaimGranted { ticket, deadline } => claim(table, ticket, deadline),
        RequestEvent::Stopped { ticket, end } => finish(table, ticket, end),
        RequestEvent::Progressed { ticket, tokens } => progress(table, ticket, tokens),
        RequestEvent::AttemptEnded {
            ticket,
            attempt,
            outcome,
        } => end_attempt(table, ticket, attempt, outcome, now),
        RequestEvent::CallerLeft { ticket } => caller_left(table, ticket),
        RequestEvent::KeyWithdrawn { ticket } => withdraw_key(table, ticket),
        RequestEvent::Tick { seed } => tick(table, seed, now),
        RequestEvent::NoEndpoint {
            ticket,
            retry_after,
        } => wait_for_endpoint(table, ticket, retry_after, now),
    }
}

fn arrive(
    table: &mut RequestTable,
    ticket: RequestTicket,
    profile: RequestProfile,
    now: LocalTime,
) -> Vec<RequestEffect> {
    table.budget.deposit();
    let request = Request {
        profile: profile.clone(),
        stage: Received,
    };
    table.requests.insert(ticket, request.into());
    if profile.account.is_none() {
        return admit(table, ticket, now + OPEN_ROUTE_START_TIMEOUT);
    }
    vec![RequestEffect::RequestAdmission { ticket, profile }]
}

fn admit(
    table: &mut RequestTable,
    ticket: RequestTicket,
    deadline: LocalTime,
) -> Vec<RequestEffect> {
    match table.requests.remove(&ticket) {
        Some(RequestStage::Received(request)) => {
            let profile = request.profile.clone();
            let request = request.enter(Admitted { deadline });
            if profile.idempotency.is_some() && !profile.repeatable {
                table.requests.insert(ticket, request.into());
                return vec![RequestEffect::RequestClaim { ticket, profile }];
            }
            start(table, ticket, request, deadline, false)
        }
        // The request ended before it was admitted; the whole admission is returned.
        None => vec![RequestEffect::Settle {
            ticket,
            used: TokenCount::ZERO,
        }],
        other => restore(table, ticket, other),
    }
}

fn claim(
    table: &mut RequestTable,
    ticket: RequestTicket,
    deadline: LocalTime,
) -> Vec<RequestEffect> {
    match table.requests.remove(&ticket) {
        Some(RequestStage::Admitted(request)) => {
            let deadline = deadline.min(request.stage.deadline);
            start(table, ticket, request, deadline, true)
        }
        None => vec![RequestEffect::CloseClaim {
            ticket,
            end: RequestEnd::NotRun {
                reason: EndReason::Timeout,
                retry_after: None,
            },
        }],
        other => restore(table, ticket, other),
    }
}

fn start(
    table: &mut RequestTable,
    ticket: RequestTicket,
    request: Request<Admitted>,
    deadline: LocalTime,
    is_claimed: bool,
) -> Vec<RequestEffect> {
    let stage = Dispatched {
        attempt: AttemptNumber::default(),
        endpoint: None,
        excluded: BTreeSet::new(),
        retry_deadline: LocalTime::NEVER,
        may_have_run: false,
        start_deadline: deadline,
        is_claimed,
    };
    let seed = ticket.get().wrapping_mul(0x9E37_79B9_7F4A_7C15);
    table.requests.insert(ticket, request.enter(stage).into());
    dispatch(table, ticket, seed)
}

/// Starts the next attempt; the start deadline applies only while no attempt may
/// have run.
fn dispatch(table: &mut RequestTable, ticket: RequestTicket, seed: u64) -> Vec<RequestEffect> {
    let (profile, stage, delivered) = match table.requests.get_mut(&ticket) {
        Some(RequestStage::Dispatched(request)) => (&request.profile, &mut request.stage, 0),
        Some(RequestStage::Answering(request)) => (
            &request.profile,
            &mut request.stage.dispatched,
            request.stage.delivered_tokens,
        ),
        _ => return Vec::new(),
    };
    stage.attempt = stage.attempt.next();
    stage.endpoint = None;
    stage.retry_deadline = LocalTime::NEVER;
    let deadline = if stage.may_have_run {
        profile.deadline
    } else {
        profile.deadline.min(stage.start_deadline)
    };
    vec![RequestEffect::Dispatch {
        ticket,
        attempt: stage.attempt,
        query: RouteQuery {
            target: profile.target.clone(),
            prefix: profile.prefix,
            prompt_tokens: profile.prompt.whole(),
            excluded: stage.excluded.clone(),
            avoided: BTreeSet::new(),
            seed,
        },
        resume_from: delivered,
        deadline,
    }]
}

fn progress(table: &mut RequestTable, ticket: RequestTicket, tokens: u64) -> Vec<RequestEffect> {
    let delivered = match table.requests.remove(&ticket) {
        Some(RequestStage::Dispatched(request)) => {
            let dispatched = request.stage.clone();
            let stage = Answering {
                dispatched,
                delivered_tokens: tokens,
            };
            table.requests.insert(ticket, request.enter(stage).into());
            tokens
        }
        Some(RequestStage::Answering(mut request)) => {
            request.stage.delivered_tokens += tokens;
            let delivered = request.stage.delivered_tokens;
            table.requests.insert(ticket, request.into());
            delivered
        }
        other => return restore(table, ticket, other),
    };
    vec![RequestEffect::Progress {
        ticket,
        tokens: delivered,
    }]
}

fn end_attempt(
    table: &mut RequestTable,
    ticket: RequestTicket,
    attempt: AttemptNumber,
    outcome: AttemptOutcome,
    now: LocalTime,
) -> Vec<RequestEffect> {
    let is_current = table
        .get(ticket)
        .and_then(RequestStage::dispatched)
        .is_some_and(|stage| stage.attempt == attempt);
    if !is_current {
        return Vec::new();
    }
    match outcome {
        AttemptOutcome::Complete {
            used_tokens,
            record,
        } => finish(
            table,
            ticket,
            RequestEnd::Complete {
                used_tokens,
                record,
            },
        ),
        AttemptOutcome::Rejected => finish(table, ticket, RequestEnd::Rejected),
        AttemptOutcome::NotSent | AttemptOutcome::RefusedNotRun => {
            record_failure(table, ticket, false);
            retry(table, ticket, EndReason::NoEndpoint, now)
        }
        AttemptOutcome::Broken { .. } => {
            record_failure(table, ticket, true);
            retry(table, ticket, EndReason::EndpointFailed, now)
        }
    }
}

/// Excludes the endpoint of a failed attempt until the request has to wait for an
/// endpoint.
fn record_failure(table: &mut RequestTable, ticket: RequestTicket, may_have_run: bool) {
    let stage = match table.requests.get_mut(&ticket) {
        Some(RequestStage::Dispatched(request)) => &mut request.stage,
        Some(RequestStage::Answering(request)) => &mut request.stage.dispatched,
        _ => return,
    };
    stage.may_have_run |= may_have_run;
    if let Some(endpoint) = stage.endpoint.take() {
        stage.excluded.insert(endpoint);
    }
}

/// Starts another attempt, renews an expired admission, or ends the request if
/// neither is possible.
fn retry(
    table: &mut RequestTable,
    ticket: RequestTicket,
    reason: EndReason,
    now: LocalTime,
) -> Vec<RequestEffect> {
    let Some(stage) = table.requests.get(&ticket) else {
        return Vec::new();
    };
    let Some(dispatched) = stage.dispatched() else {
        return Vec::new();
    };
    let is_retryable = stage.profile().repeatable || !dispatched.may_have_run;
    if !is_retryable {
        return finish(table, ticket, RequestEnd::Unknown { reason });
    }
    let has_expired = !dispatched.may_have_run && now >= dispatched.start_deadline;
    if has_expired {
        return renew_admission(table, ticket);
    }
    let is_allowed =
        dispatched.attempt.get() < table.policy.attempt_limit && stage.profile().deadline > now;
    let seed = now.micros() ^ ticket.get().rotate_left(32);
    if is_allowed && table.budget.withdraw() {
        return dispatch(table, ticket, seed);
    }
    let end = unfinished_end(stage, EndReason::RetriesExhausted, None);
    finish(table, ticket, end)
}

/// Returns the request to its first stage because its admission expired; ends it if
/// it is claimed or has no account.
fn renew_admission(table: &mut RequestTable, ticket: RequestTicket) -> Vec<RequestEffect> {
    let Some(stage) = table.requests.get(&ticket) else {
        return Vec::new();
    };
    let is_claimed = stage.dispatched().is_some_and(|stage| stage.is_claimed);
    if is_claimed || stage.profile().account.is_none() {
        let end = unfinished_end(stage, EndReason::Timeout, Some(ROUTE_RETRY_MAX_WAIT));
        return finish(table, ticket, end);
    }
    let profile = stage.profile().clone();
    let request = Request {
        profile: profile.clone(),
        stage: Received,
    };
    table.requests.insert(ticket, request.into());
    vec![RequestEffect::RenewAdmission { ticket, profile }]
}

/// Returns the end of a request that gets no further attempt: unknown if it may
/// have run, otherwise not run.
fn unfinished_end(
    stage: &RequestStage,
    reason: EndReason,
    retry_after: Option<TimeSpan>,
) -> RequestEnd {
    if stage.may_have_run() {
        RequestEnd::Unknown { reason }
    } else {
        RequestEnd::NotRun {
            reason,
            retry_after,
        }
    }
}

fn wait_for_endpoint(
    table: &mut RequestTable,
    ticket: RequestTicket,
    retry_after: TimeSpan,
    now: LocalTime,
) -> Vec<RequestEffect> {
    let Some(stage) = table.requests.get_mut(&ticket) else {
        return Vec::new();
    };
    let may_wait = now < stage.profile().admission_deadline || stage.may_have_run();
    if !may_wait {
        let end = unfinished_end(stage, EndReason::NoEndpoint, Some(retry_after));
        return finish(table, ticket, end);
    }
    let dispatched = match stage {
        RequestStage::Dispatched(request) => &mut request.stage,
        RequestStage::Answering(request) => &mut request.stage.dispatched,
        _ => return Vec::new(),
    };
    dispatched.excluded.clear();
    dispatched.retry_deadline = now + retry_after.min(ROUTE_RETRY_MAX_WAIT);
    Vec::new()
}

fn tick(table: &mut RequestTable, seed: u64, now: LocalTime) -> Vec<RequestEffect> {
    let mut effects = Vec::new();
    let expired: Vec<RequestTicket> = select(table, |stage| stage.profile().deadline <= now);
    for ticket in expired {
        effects.extend(expire(table, ticket));
    }
    let due: Vec<RequestTicket> = select(table, |stage| {
        stage
            .dispatched()
            .is_some_and(|dispatched| dispatched.retry_deadline <= now)
    });
    for ticket in due {
        effects.extend(dispatch(table, ticket, seed ^ ticket.get()));
    }
    effects
}

fn select(table: &RequestTable, accept: impl Fn(&RequestStage) -> bool) -> Vec<RequestTicket> {
    table
        .requests
        .iter()
        .filter(|(_, stage)| accept(stage))
        .map(|(ticket, _)| *ticket)
        .collect()
}

fn expire(table: &mut RequestTable, ticket: RequestTicket) -> Vec<RequestEffect> {
    let Some(stage) = table.requests.get(&ticket) else {
        return Vec::new();
    };
    let end = unfinished_end(stage, EndReason::Timeout, None);
    cancel_and_finish(table, ticket, end)
}

fn caller_left(table: &mut RequestTable, ticket: RequestTicket) -> Vec<RequestEffect> {
    cancel_and_finish(table, ticket, RequestEnd::Abandoned)
}

fn withdraw_key(table: &mut RequestTable, ticket: RequestTicket) -> Vec<RequestEffect> {
    let Some(stage) = table.requests.get(&ticket) else {
        return Vec::new();
    };
    let end = unfinished_end(stage, EndReason::KeyWithdrawn, None);
    cancel_and_finish(table, ticket, end)
}

fn cancel_and_finish(
    table: &mut RequestTable,
    ticket: RequestTicket,
    end: RequestEnd,
) -> Vec<RequestEffect> {
    let endpoint = table
        .get(ticket)
        .and_then(RequestStage::dispatched)
        .and_then(|stage| stage.endpoint.clone());
    let mut effects = vec![RequestEffect::Cancel { ticket, endpoint }];
    effects.extend(finish(table, ticket, end));
    effects
}

fn finish(table: &mut RequestTable, ticket: RequestTicket, end: RequestEnd) -> Vec<RequestEffect> {
    let Some(stage) = table.requests.remove(&ticket) else {
        return Vec::new();
    };
    let mut effects = Vec::new();
    if has_admission(&stage) {
        let used = used_tokens(&stage, &end);
        effects.push(RequestEffect::Settle { ticket, used });
    }
    if has_claim(&stage) {
        let end = claimed_end(&stage, &end);
        effects.push(RequestEffect::CloseClaim { ticket, end });
    }
    effects.push(RequestEffect::Finish { ticket, end });
    effects
}

const fn has_admission(stage: &RequestStage) -> bool {
    stage.profile().account.is_some()
}

const fn has_claim(stage: &RequestStage) -> bool {
    // The claim is requested on entry to the stage `Admitted`; from then on it must be
    // closed, granted or not.
    let is_past_admission = matches!(
        stage,
        RequestStage::Admitted(_) | RequestStage::Dispatched(_) | RequestStage::Answering(_)
    );
    let profile = stage.profile();
    is_past_admission && profile.idempotency.is_some() && !profile.repeatable
}

/// Returns the tokens to charge to the account.
fn used_tokens(stage: &RequestStage, end: &RequestEnd) -> TokenCount {
    if !stage.may_have_run() {
        return TokenCount::ZERO;
    }
    match end {
        RequestEnd::Complete {
            used_tokens: Some(tokens),
            ..
        } => TokenCount::new(*tokens),
        RequestEnd::Rejected | RequestEnd::Replayed { .. } | RequestEnd::NotRun { .. } => {
            TokenCount::ZERO
        }
        // The number is not known, so all reserved tokens are charged.
        RequestEnd::Complete {
            used_tokens: None, ..
        }
        | RequestEnd::Unknown { .. }
        | RequestEnd::Abandoned => {
            let profile = stage.profile();
            profile.prompt + profile.output
        }
    }
}

/// Returns the end that the claim records. An abandoned request is recorded as
/// unknown or as not run, since the claim has to know whether it may have run.
fn claimed_end(stage: &RequestStage, end: &RequestEnd) -> RequestEnd {
    match end {
        RequestEnd::Abandoned => unfinished_end(stage, EndReason::Timeout, None),
        other => other.clone(),
    }
}

fn restore(
    table: &mut RequestTable,
    ticket: RequestTicket,
    stage: Option<RequestStage>,
) -> Vec<RequestEffect> {
    if let Some(stage) = stage {
        table.requests.insert(ticket, stage);
    }
    Vec::new()
}
