//! Error responses for callers.

use clementinepond_decide::request::{EndReason, RequestEnd};
use clementinepond_types::{RequestId, TimeSpan};
use salvo::Response;
use salvo::http::{HeaderValue, StatusCode};
use salvo::writing::Json;
use serde_json::json;

/// Response header with the identifier that this system assigned to the request.
pub(crate) const REQUEST_ID_HEADER: &str = "clementinepond-request-id";
/// Response header that states whether the request ran.
pub(crate) const OUTCOME_HEADER: &str = "clementinepond-outcome";

/// Whether a request ran, as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerOutcome {
    /// The request ran and its answer is complete.
    Complete,
    /// The request did not run, or the endpoint rejected it.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl CallerOutcome {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Error response for a caller.
#[derive(Debug, Clone)]
pub(crate) struct CallerError {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: Box<str>,
    pub(crate) outcome: CallerOutcome,
    pub(crate) retry_after: Option<TimeSpan>,
}

impl CallerError {
    /// Creates the error of a request that did not run.
    pub(crate) fn not_run(status: StatusCode, code: &'static str, message: &str) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            outcome: CallerOutcome::NotRun,
            retry_after: None,
        }
    }

    pub(crate) const fn with_retry_after(mut self, retry_after: Option<TimeSpan>) -> Self {
        self.retry_after = retry_after;
        self
    }

    /// Returns the error of a request that ended without an answer.
    pub(crate) fn from_end(end: &RequestEnd) -> Self {
        match end {
            RequestEnd::NotRun {
                reason,
                retry_after,
            } => {
                let (status, message) = refusal(*reason);
                Self::not_run(status, code(*reason), message).with_retry_after(*retry_after)
            }
            RequestEnd::Unknown { reason } => {
                let (status, message) = uncertainty(*reason);
                Self {
                    status,
                    code: code(*reason),
                    message: message.into(),
                    outcome: CallerOutcome::Unknown,
                    retry_after: None,
                }
            }
            _ => Self {
                status: StatusCode::INTERNAL_SERVER_ERROR,
                code: "answer_missing",
                message:
                    "the request ended without an answer and may have run; check its effect before you send it again"
                        .into(),
                outcome: CallerOutcome::Unknown,
                retry_after: None,
            },
        }
    }

    pub(crate) fn json(&self) -> serde_json::Value {
        json!({"error": {
            "type": self.kind(),
            "code": self.code,
            "message": self.message,
            "outcome": self.outcome.name(),
        }})
    }

    const fn kind(&self) -> &'static str {
        match self.status.as_u16() {
            401 | 403 => "authentication_error",
            429 => "rate_limit_error",
            400..=499 => "invalid_request_error",
            _ => "server_error",
        }
    }

    pub(crate) fn render(&self, request_id: Option<&RequestId>, response: &mut Response) {
        response.status_code(self.status);
        set_header(response, OUTCOME_HEADER, self.outcome.name());
        if let Some(request_id) = request_id {
            set_header(response, REQUEST_ID_HEADER, request_id.as_str());
        }
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.micros().div_ceil(1_000_000).max(1);
            set_header(response, "retry-after", &seconds.to_string());
            let millis = retry_after.micros().div_ceil(1_000).to_string();
            set_header(response, "retry-after-ms", &millis);
        }
        response.render(Json(self.json()));
    }
}

pub(crate) fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

const fn code(reason: EndReason) -> &'static str {
    match reason {
        EndReason::RateLimit => "rate_limit",
        EndReason::LargerThanBurst => "larger_than_burst",
        EndReason::CrashesEndpoints => "crashes_endpoints",
        EndReason::NoEndpoint => "no_endpoint",
        EndReason::EndpointFailed => "endpoint_failed",
        EndReason::RetriesExhausted => "retries_exhausted",
        EndReason::ClaimUnavailable => "claim_unavailable",
        EndReason::KeyReused => "key_reused",
        EndReason::AlreadyRan => "already_ran",
        EndReason::AccountInactive => "account_inactive",
        EndReason::KeyDate => "key_date",
        EndReason::StillRunning => "still_running",
        EndReason::OutcomeLost => "outcome_lost",
        EndReason::KeyWithdrawn => "key_withdrawn",
        EndReason::Timeout => "timeout",
        EndReason::Overloaded => "overloaded",
        EndReason::Stopping => "stopping",
    }
}

const fn refusal(reason: EndReason) -> (StatusCode, &'static str) {
    match reason {
        EndReason::RateLimit => (
            StatusCode::TOO_MANY_REQUESTS,
            "the rate limit of the account is exceeded; send the request again after Retry-After",
        ),
        EndReason::LargerThanBurst => (
            StatusCode::BAD_REQUEST,
            "the request needs more tokens than the burst limit of the account; shorten the prompt or lower max_tokens",
        ),
        EndReason::CrashesEndpoints => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "the request is blocked because it crashed endpoints; change it or ask the operators to release it",
        ),
        EndReason::KeyReused => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "the idempotency key was already used for a different request; use a new key",
        ),
        EndReason::AccountInactive => (
            StatusCode::FORBIDDEN,
            "the account is unknown or disabled; ask the operators to enable it",
        ),
        EndReason::KeyDate => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "the date in the idempotency key is too old or in the future; check whether the request ran, then use a new key",
        ),
        EndReason::KeyWithdrawn => (
            StatusCode::UNAUTHORIZED,
            "the key was withdrawn; ask the operators for a new one",
        ),
        EndReason::ClaimUnavailable => (
            StatusCode::SERVICE_UNAVAILABLE,
            "requests with this idempotency key cannot be accepted now; send the request again after Retry-After",
        ),
        EndReason::NoEndpoint
        | EndReason::EndpointFailed
        | EndReason::AlreadyRan
        | EndReason::StillRunning
        | EndReason::OutcomeLost
        | EndReason::RetriesExhausted
        | EndReason::Timeout
        | EndReason::Overloaded
        | EndReason::Stopping => (
            StatusCode::SERVICE_UNAVAILABLE,
            "the request did not run because no endpoint was available in time; send it again after Retry-After",
        ),
    }
}

const fn uncertainty(reason: EndReason) -> (StatusCode, &'static str) {
    match reason {
        EndReason::AlreadyRan => (
            StatusCode::CONFLICT,
            "the request with this idempotency key already ran and its answer is not stored; do not send it again",
        ),
        EndReason::StillRunning => (
            StatusCode::CONFLICT,
            "the request with this idempotency key is still running; send the request again later with the same key",
        ),
        EndReason::OutcomeLost => (
            StatusCode::CONFLICT,
            "the request with this idempotency key may have run; check its effect before you use a new key",
        ),
        EndReason::KeyWithdrawn => (
            StatusCode::UNAUTHORIZED,
            "the key was withdrawn while the request was running; ask the operators for a new one",
        ),
        EndReason::CrashesEndpoints => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "this request crashed the endpoints that ran it; change it or ask the operators to release it",
        ),
        EndReason::Timeout => (
            StatusCode::GATEWAY_TIMEOUT,
            "the request did not finish within the time limit and may have run; check its effect before you send it again",
        ),
        _ => (
            StatusCode::BAD_GATEWAY,
            "the request may have run and its answer is lost; check its effect before you send it again",
        ),
    }
}
