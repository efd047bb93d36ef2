//! Stages and ends of a request.

use super::{AttemptNumber, RequestProfile};
use crate::claim::RecordedAnswer;
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use derive_more::{Display, From};
use std::collections::BTreeSet;

/// Reason why a request did not run or its outcome is unknown.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The account's rate and burst are used up.
    #[display("rate_limit")]
    RateLimit,
    /// The request is larger than the account's burst.
    #[display("larger_than_burst")]
    LargerThanBurst,
    /// The request is blocked because it crashed endpoints.
    #[display("crashes_endpoints")]
    CrashesEndpoints,
    /// No endpoint serves the target.
    #[display("no_endpoint")]
    NoEndpoint,
    /// The endpoint did not complete the answer and may have run the request.
    #[display("endpoint_failed")]
    EndpointFailed,
    /// The retry budget or the number of attempts is used up, or the deadline passed
    /// before a retry.
    #[display("retries_exhausted")]
    RetriesExhausted,
    /// The account is unknown or disabled.
    #[display("account_inactive")]
    AccountInactive,
    /// The date in the idempotency key is too old or in the future.
    #[display("key_date")]
    KeyDate,
    /// The first call under the idempotency key is still running.
    #[display("still_running")]
    StillRunning,
    /// The owner of the claim is unreachable.
    #[display("claim_unavailable")]
    ClaimUnavailable,
    /// The idempotency key was used before with another body.
    #[display("key_reused")]
    KeyReused,
    /// The request ran earlier and its outcome is not known.
    #[display("outcome_lost")]
    OutcomeLost,
    /// The request ran earlier and its answer is no longer stored.
    #[display("already_ran")]
    AlreadyRan,
    /// The caller's key was withdrawn.
    #[display("key_withdrawn")]
    KeyWithdrawn,
    /// The deadline of the request passed, or its admission or claim expired.
    #[display("timeout")]
    Timeout,
    /// The VM is overloaded.
    #[display("overloaded")]
    Overloaded,
    /// The VM is stopping.
    #[display("stopping")]
    Stopping,
}

/// End of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// The caller received the complete answer.
    Complete {
        /// Tokens that the endpoint counted, prompt included; `None` if it does not
        /// count tokens.
        used_tokens: Option<u64>,
        /// Answer to record for retries under the same idempotency key; `None` if it is not
        /// to be recorded.
        record: Option<Box<RecordedAnswer>>,
    },
    /// The caller received the endpoint's own error.
    Rejected,
    /// The caller received the recorded answer of an earlier run.
    Replayed {
        /// Recorded answer.
        answer: Box<RecordedAnswer>,
    },
    /// No endpoint ran the request.
    NotRun {
        /// Reason why it did not run.
        reason: EndReason,
        /// Time after which a retry is useful; `None` if not known.
        retry_after: Option<TimeSpan>,
    },
    /// An endpoint may have run the request.
    Unknown {
        /// Reason why the outcome is unknown.
        reason: EndReason,
    },
    /// The caller disconnected.
    Abandoned,
}

/// Stage: waiting for admission.
#[derive(Debug, Clone)]
pub struct Received;

/// Stage: admitted; waiting for the claim or ready to dispatch.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Time after which the admission must not be used.
    pub deadline: LocalTime,
}

/// Stage: sent to an endpoint, or waiting for one.
#[derive(Debug, Clone)]
pub struct Dispatched {
    /// Number of the latest attempt.
    pub attempt: AttemptNumber,
    /// Endpoint of the latest attempt; `None` if none is chosen or the attempt failed.
    pub endpoint: Option<EndpointId>,
    /// Endpoints that failed the request since it last had to wait for an endpoint.
    pub excluded: BTreeSet<EndpointId>,
    /// Time of the next choice if no endpoint could be chosen, otherwise never.
    pub retry_deadline: LocalTime,
    /// Whether bytes may have reached an endpoint in a failed attempt.
    pub may_have_run: bool,
    /// Time after which no attempt may start unless an earlier one may have run.
    pub start_deadline: LocalTime,
    /// Whether the request has a claim, so that it ends when the start deadline passes.
    pub is_claimed: bool,
}

/// Stage: delivering tokens to the caller.
#[derive(Debug, Clone)]
pub struct Answering {
    /// State of the latest attempt.
    pub dispatched: Dispatched,
    /// Tokens delivered to the caller over all attempts.
    pub delivered_tokens: u64,
}

/// Request in stage `S`.
#[derive(Debug, Clone)]
pub struct Request<S> {
    /// Properties of the request.
    pub profile: RequestProfile,
    /// State that belongs to the stage.
    pub stage: S,
}

impl<S> Request<S> {
    /// Moves the request to another stage.
    pub fn enter<T>(self, stage: T) -> Request<T> {
        Request {
            profile: self.profile,
            stage,
        }
    }
}

/// Request in any stage before its end.
#[derive(Debug, Clone, From)]
pub enum RequestStage {
    /// Waiting for admission.
    Received(Request<Received>),
    /// Waiting for the claim.
    Admitted(Request<Admitted>),
    /// Sent to an endpoint, or waiting for one.
    Dispatched(Request<Dispatched>),
    /// Delivering tokens to the caller.
    Answering(Request<Answering>),
}

impl RequestStage {
    /// Returns the properties of the request.
    #[must_use]
    pub const fn profile(&self) -> &RequestProfile {
        match self {
            Self::Received(request) => &request.profile,
            Self::Admitted(request) => &request.profile,
            Self::Dispatched(request) => &request.profile,
            Self::Answering(request) => &request.profile,
        }
    }

    /// Returns the dispatch state; `None` before the first dispatch.
    #[must_use]
    pub const fn dispatched(&self) -> Option<&Dispatched> {
        match self {
            Self::Dispatched(request) => Some(&request.stage),
            Self::Answering(request) => Some(&request.stage.dispatched),
            _ => None,
        }
    }

    /// Returns whether an endpoint may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.dispatched()
            .is_some_and(|stage| stage.may_have_run || stage.endpoint.is_some())
    }
}
