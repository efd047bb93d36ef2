//! What callers and endpoints must see, whatever happens.

use crate::callers::CallRecord;
use clementinepond_platform_standin::{CallOutcome, RunJudge};

/// Events of the stand-ins' streams.
pub(crate) const STREAM_EVENTS: u32 = 8;

/// Returns the promises that were broken.
pub(crate) fn find_violations(judge: &RunJudge, calls: &[CallRecord]) -> Vec<String> {
    let mut found = judge.violations();
    for call in calls {
        found.extend(check_call(judge, call));
    }
    found
}

fn check_call(judge: &RunJudge, call: &CallRecord) -> Option<String> {
    let attempt = &call.attempt;
    let runs = judge.runs_of(attempt).len();
    match &call.outcome {
        CallOutcome::Answer {
            status,
            body,
            is_signed,
            ..
        } => match status.as_u16() {
            200 if *body != expected_body(call) => Some(format!(
                "{attempt} got another answer than its own: {body:?}"
            )),
            200 if !is_signed => Some(format!("{attempt} got an answer that no endpoint signed")),
            429 | 503 if runs > 0 => Some(format!("{attempt} was refused as not run and ran")),
            400..=499 if status.as_u16() != 429 => {
                Some(format!("{attempt} is allowed and was answered {status}"))
            }
            _ => None,
        },
        CallOutcome::Broken { body } if !expected_body(call).starts_with(body.as_str()) => Some(
            format!("{attempt} got pieces that are not its answer's: {body:?}"),
        ),
        CallOutcome::Broken { .. }
        | CallOutcome::Unreachable
        | CallOutcome::Closed
        | CallOutcome::Late => None,
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
