//! Comparison of an answer with the one expected for its request.

use super::answer_reader::ReceivedAnswer;
use super::load_options::{LoadForm, LoadOptions, LoadWorkload};
use super::planned_request::PlannedRequest;
use crate::engine::{answer_length, expected_text};
use crate::service::ServiceEcho;

/// Result of a request from the point of view of its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerVerdict {
    Correct,
    Refused,
    Wrong,
    Incomplete,
    Broken,
    TimedOut,
}

/// Returns the prompt that the engine derives from the content of a request.
pub(super) fn engine_prompt(form: &LoadForm, content: &str) -> String {
    match form {
        LoadForm::Chat => format!("user\n{content}\n"),
        LoadForm::Completion | LoadForm::Service { .. } => content.to_owned(),
    }
}

/// Checks the length, the token limit and the text of a model's answer.
pub(super) fn check_tokens(
    options: &LoadOptions,
    request: &PlannedRequest,
    workload: &LoadWorkload,
    answer: &ReceivedAnswer,
) -> AnswerVerdict {
    if answer.malformed || answer.ids.len() > 1 {
        return AnswerVerdict::Wrong;
    }
    let stream_complete = !workload.stream || answer.done;
    let Some(count) = answer.completion_tokens.filter(|_| stream_complete) else {
        return AnswerVerdict::Incomplete;
    };
    let prompt = engine_prompt(&workload.form, &request.content);
    let length_matches = options.answer_length.is_none_or(|length| {
        let drawn = answer_length(length.seed, &prompt, length.shortest, length.longest);
        count == drawn.min(request.max_tokens)
    });
    let truncated = answer.finish_reason.as_deref() == Some("length");
    let limit_respected =
        count <= request.max_tokens && (!truncated || count == request.max_tokens);
    let model = request.model.and_then(|index| options.models.get(index));
    let text_matches = model.is_some_and(|target| {
        let mut versions = target.versions.iter();
        versions.any(|version| expected_text(&target.model, version, &prompt, count) == answer.text)
    });
    if length_matches && limit_respected && text_matches {
        AnswerVerdict::Correct
    } else {
        AnswerVerdict::Wrong
    }
}

/// Checks that the answer of a service echoes the body of its request.
pub(super) fn check_echo(request: &PlannedRequest, body: &[u8]) -> AnswerVerdict {
    match serde_json::from_slice::<ServiceEcho>(body) {
        Ok(echo) if echo.body == request.content => AnswerVerdict::Correct,
        _ => AnswerVerdict::Wrong,
    }
}
