//! Tests of the request reducer: retries, ends and charged tokens.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use clementinepond_decide::claim::{BodyFingerprint, KeyDate};
use clementinepond_decide::crash::RequestFingerprint;
use clementinepond_decide::request::{
    AttemptNumber, AttemptOutcome, EndReason, IdempotencyKey, RequestEffect, RequestEnd,
    RequestEvent, RequestPolicy, RequestProfile, RequestTable, reduce,
};
use clementinepond_decide::route::RouteTarget;
use clementinepond_types::{
    EndpointId, LocalTime, PriorityClass, RequestTicket, TimeSpan, TokenCount,
};

const TICKET: RequestTicket = RequestTicket::new(1);

fn profile(repeatable: bool, keyed: bool) -> RequestProfile {
    RequestProfile {
        account: Some("coop".parse().unwrap()),
        target: RouteTarget::Service("filing".parse().unwrap()),
        prompt: TokenCount::new(10),
        output: TokenCount::new(20),
        priority: PriorityClass::new(0),
        repeatable,
        idempotency: keyed.then(|| IdempotencyKey {
            key: "key".into(),
            date: KeyDate::Undated,
            fingerprint: BodyFingerprint::of(b"body"),
        }),
        fingerprint: RequestFingerprint::new(
            &"coop".parse().unwrap(),
            &"filing".parse().unwrap(),
            b"body",
        ),
        prefix: None,
        admission_deadline: at(300),
        deadline: at(60_000),
    }
}

fn at(millis: u64) -> LocalTime {
    LocalTime::ORIGIN + TimeSpan::from_millis(millis)
}

fn table(attempt_limit: u32) -> RequestTable {
    RequestTable::new(RequestPolicy {
        attempt_limit,
        retry_percent: 20,
    })
}

/// Admits a request and dispatches its first attempt.
fn dispatch(table: &mut RequestTable, profile: RequestProfile) -> AttemptNumber {
    let keyed = profile.idempotency.is_some();
    let arrived = RequestEvent::Arrived {
        ticket: TICKET,
        profile,
    };
    let effects = reduce(table, arrived, at(0));
    assert!(matches!(
        effects[..],
        [RequestEffect::RequestAdmission { .. }]
    ));
    let admitted = RequestEvent::Admitted {
        ticket: TICKET,
        deadline: at(1_000),
    };
    let mut effects = reduce(table, admitted, at(1));
    if keyed {
        assert!(matches!(effects[..], [RequestEffect::RequestClaim { .. }]));
        let granted = RequestEvent::ClaimGranted {
            ticket: TICKET,
            deadline: at(800),
        };
        effects = reduce(table, granted, at(2));
    }
    let attempt = attempt(&effects).unwrap();
    table.record_endpoint(TICKET, endpoint());
    attempt
}

fn endpoint() -> EndpointId {
    "engine-1".parse().unwrap()
}

fn attempt(effects: &[RequestEffect]) -> Option<AttemptNumber> {
    effects.iter().find_map(|effect| match effect {
        RequestEffect::Dispatch { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

fn end(effects: &[RequestEffect]) -> Option<&RequestEnd> {
    effects.iter().find_map(|effect| match effect {
        RequestEffect::Finish { end, .. } => Some(end),
        _ => None,
    })
}

fn end_attempt(
    table: &mut RequestTable,
    attempt: AttemptNumber,
    outcome: AttemptOutcome,
    now: LocalTime,
) -> Vec<RequestEffect> {
    let event = RequestEvent::AttemptEnded {
        ticket: TICKET,
        attempt,
        outcome,
    };
    reduce(table, event, now)
}

const BROKEN: AttemptOutcome = AttemptOutcome::Broken {
    delivered_tokens: 0,
};

#[test]
fn claimed_request_ends_unknown_when_it_may_have_run() {
    let mut table = table(4);
    let attempt = dispatch(&mut table, profile(false, true));
    let effects = end_attempt(&mut table, attempt, BROKEN, at(10));
    let reason = EndReason::EndpointFailed;
    assert_eq!(end(&effects), Some(&RequestEnd::Unknown { reason }));
    assert!(effects.iter().any(|effect| matches!(
        effect,
        RequestEffect::CloseClaim {
            end: RequestEnd::Unknown { .. },
            ..
        }
    )));
    // The number of used tokens is not known, so all reserved tokens are charged.
    assert!(effects.iter().any(|effect| matches!(
        effect,
        RequestEffect::Settle { used, .. } if *used == TokenCount::new(30)
    )));
}

#[test]
fn claimed_request_is_retried_when_not_sent() {
    let mut table = table(4);
    let first = dispatch(&mut table, profile(false, true));
    let effects = end_attempt(&mut table, first, AttemptOutcome::NotSent, at(10));
    assert_eq!(attempt(&effects), Some(first.next()));
}

#[test]
fn late_outcome_of_earlier_attempt_is_ignored() {
    let mut table = table(4);
    let first = dispatch(&mut table, profile(true, false));
    end_attempt(&mut table, first, BROKEN, at(10));
    let late = AttemptOutcome::Complete {
        used_tokens: Some(30),
        record: None,
    };
    assert!(end_attempt(&mut table, first, late, at(11)).is_empty());
}

#[test]
fn retried_stream_resumes_after_delivered_tokens() {
    let mut table = table(4);
    let first = dispatch(&mut table, profile(true, false));
    for tokens in [2, 3] {
        let progress = RequestEvent::Progressed {
            ticket: TICKET,
            tokens,
        };
        reduce(&mut table, progress, at(5));
    }
    let effects = end_attempt(&mut table, first, BROKEN, at(10));
    let resumed = effects.iter().any(|effect| {
        matches!(effect, RequestEffect::Dispatch { resume_from: 5, query, .. }
            if query.excluded.contains(&endpoint()))
    });
    assert!(resumed, "{effects:?}");
}

#[test]
fn expired_admission_is_renewed() {
    let mut table = table(4);
    let first = dispatch(&mut table, profile(true, false));
    let effects = end_attempt(&mut table, first, AttemptOutcome::NotSent, at(1_001));
    assert!(matches!(
        effects[..],
        [RequestEffect::RenewAdmission { .. }]
    ));
}

#[test]
fn request_with_expired_claim_ends_not_run() {
    let mut table = table(4);
    let first = dispatch(&mut table, profile(false, true));
    let effects = end_attempt(&mut table, first, AttemptOutcome::NotSent, at(801));
    assert!(matches!(
        end(&effects),
        Some(RequestEnd::NotRun {
            reason: EndReason::Timeout,
            ..
        })
    ));
}

#[test]
fn exhausted_attempts_end_unknown_only_if_one_may_have_run() {
    for (outcome, has_run) in [(AttemptOutcome::RefusedNotRun, false), (BROKEN, true)] {
        let mut table = table(2);
        let first = dispatch(&mut table, profile(true, false));
        end_attempt(&mut table, first, outcome.clone(), at(10));
        table.record_endpoint(TICKET, endpoint());
        let effects = end_attempt(&mut table, first.next(), outcome, at(20));
        let is_unknown = matches!(end(&effects), Some(RequestEnd::Unknown { .. }));
        assert_eq!(is_unknown, has_run, "{effects:?}");
    }
}

#[test]
fn retry_budget_is_exhausted_when_every_endpoint_fails() {
    let mut table = table(u32::MAX);
    let first = dispatch(&mut table, profile(true, false));
    let mut attempt = first;
    let mut attempts = 0;
    while table.get(TICKET).is_some() {
        table.record_endpoint(TICKET, endpoint());
        end_attempt(&mut table, attempt, BROKEN, at(10));
        attempt = attempt.next();
        attempts += 1;
        assert!(attempts < 1_000);
    }
    // The first attempt and 50 retries.
    assert_eq!(attempts, 51);
}

#[test]
fn admission_after_caller_left_is_returned() {
    let mut table = table(4);
    let arrived = RequestEvent::Arrived {
        ticket: TICKET,
        profile: profile(true, false),
    };
    reduce(&mut table, arrived, at(0));
    reduce(
        &mut table,
        RequestEvent::CallerLeft { ticket: TICKET },
        at(1),
    );
    let admitted = RequestEvent::Admitted {
        ticket: TICKET,
        deadline: at(1_000),
    };
    let effects = reduce(&mut table, admitted, at(2));
    assert!(matches!(
        effects[..],
        [RequestEffect::Settle {
            used: TokenCount::ZERO,
            ..
        }]
    ));
}

#[test]
fn request_past_deadline_is_cancelled_and_finished() {
    let mut table = table(4);
    dispatch(&mut table, profile(true, false));
    let effects = reduce(&mut table, RequestEvent::Tick { seed: 1 }, at(60_000));
    assert!(matches!(effects[0], RequestEffect::Cancel { .. }));
    assert!(matches!(
        end(&effects),
        Some(RequestEnd::Unknown {
            reason: EndReason::Timeout
        })
    ));
}

#[test]
fn answer_without_token_count_is_charged_in_full() {
    for (used_tokens, cost) in [(Some(7), 7), (None, 30)] {
        let mut table = table(4);
        let first = dispatch(&mut table, profile(true, false));
        let outcome = AttemptOutcome::Complete {
            used_tokens,
            record: None,
        };
        let effects = end_attempt(&mut table, first, outcome, at(10));
        assert!(effects.iter().any(|effect| matches!(
            effect,
            RequestEffect::Settle { used, .. } if *used == TokenCount::new(cost)
        )));
    }
}
