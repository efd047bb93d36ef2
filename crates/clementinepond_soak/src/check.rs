//! Invariants that must hold for callers and endpoints under every fault.

use crate::callers::CallRecord;
use crate::deployment::{SOFTWARE_VERSIONS, STATED_LIMIT};
use crate::fault::{PlannedFault, SoakFault};
use clementinepond_platform_standin::{CallOutcome, RunChecker, stream_event};
use std::time::{Duration, Instant};

/// Window in which calls at an endpoint with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time from the first statement of a limit until it must be kept.
const LIMIT_NOTICE: Duration = Duration::from_secs(3);
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

/// Returns a description of each endpoint that got more calls than the limit that it states
/// allows, in a window that no other fault excuses.
pub(crate) fn find_limit_excess(
    checker: &RunChecker,
    schedule: &[PlannedFault],
    started: Instant,
) -> Vec<String> {
    let allowed = (1.5 * STATED_LIMIT * LIMIT_WINDOW.as_secs_f64() + 5.0) as usize;
    let excuses = schedule
        .iter()
        .filter(|planned| planned.fault.excuses_limits());
    let excused: Vec<(Duration, Duration)> = excuses
        .map(|planned| (planned.at, planned.at + planned.length + LIMIT_NOTICE))
        .collect();
    let mut found = Vec::new();
    for planned in schedule {
        let SoakFault::EndpointLimits(endpoint) = planned.fault else {
            continue;
        };
        let (from, until) = (planned.at + LIMIT_NOTICE, planned.at + planned.length);
        // Another fault of the endpoint ends the limit early.
        let is_replaced = schedule.iter().any(|other| {
            other.fault.endpoint() == Some(endpoint)
                && other.at + other.length >= planned.at
                && other.at <= until
                && other.fault != planned.fault
        });
        let arrivals = checker.arrivals_at(&format!("endpoint-{endpoint}"));
        let times: Vec<Duration> = arrivals
            .iter()
            .map(|arrival| arrival.at.saturating_duration_since(started))
            .filter(|at| (from..until).contains(at))
            .collect();
        for &start in &times {
            let end = (start + LIMIT_WINDOW).min(until);
            let count = times.iter().filter(|at| (start..end).contains(at)).count();
            let is_excused = excused
                .iter()
                .any(|(from, until)| *from < end && start < *until);
            if count > allowed && !is_excused && !is_replaced {
                found.push(format!(
                    "endpoint-{endpoint} got {count} calls in {LIMIT_WINDOW:?}, allowed {allowed}"
                ));
                break;
            }
        }
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
