//! Invariants that must hold for callers and endpoints under every fault.

use crate::callers::CallRecord;
use crate::deployment::SOFTWARE_VERSIONS;
use clementinepond_platform_standin::{CallOutcome, RunChecker, stream_event};

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
            200 if *body != expected_body(call, body) => Some(format!(
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
        CallOutcome::Broken { body } if !is_start(body, &expected_body(call, body)) => Some(
            format!("{attempt} got a partial answer that does not match its request: {body:?}"),
        ),
        CallOutcome::Broken { .. }
        | CallOutcome::Unreachable
        | CallOutcome::Closed
        | CallOutcome::TimedOut => None,
    }
}

/// Returns the body of a complete answer; that of a stream is by the software version which
/// wrote its first event, also if an earlier attempt brought that event.
fn expected_body(call: &CallRecord, body: &str) -> String {
    if !call.is_stream {
        return format!("answer to {}", call.attempt);
    }
    let first = call.brought_before.as_deref().unwrap_or(body);
    let is_writer = |software: &&&str| first.starts_with(&stream_event(1, software));
    let software = SOFTWARE_VERSIONS.iter().find(is_writer).unwrap_or(&"");
    let whole: String = (1..=STREAM_EVENTS)
        .map(|id| stream_event(id, software))
        .collect();
    let before = call.brought_before.as_ref().map_or(0, String::len);
    whole[before.min(whole.len())..].to_owned()
}

/// Returns whether a partial answer is a start of the complete one.
fn is_start(body: &str, expected: &str) -> bool {
    // The software version is unknown before the first event is complete.
    let is_part = |software: &&str| stream_event(1, software).starts_with(body);
    expected.starts_with(body) || SOFTWARE_VERSIONS.iter().any(is_part)
}
