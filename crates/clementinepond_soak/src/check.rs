//! Invariants that must hold for callers and endpoints under every fault.

use crate::callers::CallRecord;
use clementinepond_platform_standin::{CallOutcome, RunChecker};

/// Number of events in the stand-ins' streams.
pub(crate) const STREAM_EVENTS: u32 = 8;

/// Returns a description of each violated invariant.
pub(crate) fn find_violations(checker: &RunChecker, calls: &[CallRecord]) -> Vec<String> {
    let mut found = checker.violations();
    for call in calls {
        found.extend(check_call(checker, call));
    }
    found
}

fn check_call(checker: &RunChecker, call: &CallRecord) -> Option<String> {
    let attempt = &call.attempt;
    let runs = checker.runs_of(attempt).len();
    match &call.outcome {
        CallOutcome::Answer {
            status,
            body,
            is_signed,
            ..
        } => match status.as_u16() {
            200 if *body != expected_body(call) => Some(format!(
                "{attempt} got an answer that does not match its request: {body:?}"
            )),
            200 if !is_signed => Some(format!(
                "{attempt} got an answer without an endpoint's signature"
            )),
            429 | 503 if runs > 0 => Some(format!(
                "{attempt} was refused with {status} but ran {runs} times"
            )),
            400..=499 if status.as_u16() != 429 => {
                Some(format!("{attempt} is valid but was answered with {status}"))
            }
            _ => None,
        },
        CallOutcome::Broken { body } if !expected_body(call).starts_with(body.as_str()) => Some(
            format!("{attempt} got a partial answer that does not match its request: {body:?}"),
        ),
        CallOutcome::Broken { .. }
        | CallOutcome::Unreachable
        | CallOutcome::Closed
        | CallOutcome::TimedOut => None,
    }
}

fn expected_body(call: &CallRecord) -> String {
    if call.is_stream {
        return (1..=STREAM_EVENTS)
            .map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
            .collect();
    }
    format!("answer to {}", call.attempt)
}
