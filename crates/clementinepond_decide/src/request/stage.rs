//! Stages of a request and its end.

use super::{AttemptNumber, RequestProfile};
use crate::claim::RecordedAnswer;
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};
use derive_more::{Display, From};
use std::collections::BTreeSet;

/// Why a request was refused or its outcome is unknown.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The account's rate and burst are used up.
    #[display("rate_limit")]
    RateLimit,
    /// The request is larger than the account's burst.
    #[display("larger_than_burst")]
    LargerThanBurst,
    /// The request crashed endpoints.
    #[display("crashes_endpoints")]
    CrashesEndpoints,
    /// No endpoint serves the target.
    #[display("no_endpoint")]
    NoEndpoint,
    /// The endpoint did not finish and may have run the request.
    #[display("endpoint_failed")]
    EndpointFailed,
    /// The retry budget or the number of attempts is used up.
    #[display("retries_exhausted")]
    RetriesExhausted,
    /// The account is unknown or disabled.
    #[display("account_inactive")]
    AccountInactive,
    /// The idempotency key names a moment that is too old or in the future.
    #[display("key_date")]
    KeyDate,
    /// The first call under the idempotency key is still running.
    #[display("still_running")]
    StillRunning,
    /// The owner of the claim cannot be reached.
    #[display("claim_unavailable")]
    ClaimUnavailable,
    /// The same key came with another body.
    #[display("key_reused")]
    KeyReused,
    /// The request ran earlier and its outcome is not known.
    #[display("outcome_lost")]
    OutcomeLost,
    /// The request ran earlier and its answer is no longer held.
    #[display("already_ran")]
    AlreadyRan,
    /// The key was withdrawn.
    #[display("key_withdrawn")]
    KeyWithdrawn,
    /// The life of the request ended.
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
    /// The caller got the whole answer.
    Complete {
        /// Tokens that the endpoint counted, prompt included; none when it
        /// counts none.
        used_tokens: Option<u64>,
        /// The answer, when repeats of the call may ask for it.
        record: Option<Box<RecordedAnswer>>,
    },
    /// The endpoint's own refusal was passed on.
    Rejected,
    /// The recorded answer of an earlier run.
    Replayed {
        /// The answer.
        answer: Box<RecordedAnswer>,
    },
    /// Nothing ran.
    NotRun {
        /// Why.
        reason: EndReason,
        /// Time after which another try makes sense.
        retry_after: Option<TimeSpan>,
    },
    /// It may have run.
    Unknown {
        /// Why.
        reason: EndReason,
    },
    /// The caller went away.
    Abandoned,
}

/// Stage: arrived, asking for admission.
#[derive(Debug, Clone)]
pub struct Received;

/// Stage: admitted; asking for the claim or ready to dispatch.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Moment after which the admission must not be used.
    pub deadline: LocalTime,
}

/// Stage: handed to an endpoint, or waiting for one.
#[derive(Debug, Clone)]
pub struct Dispatched {
    /// Number of the latest attempt.
    pub attempt: AttemptNumber,
    /// Endpoint of the latest attempt.
    pub endpoint: Option<EndpointId>,
    /// Endpoints that failed it.
    pub excluded: BTreeSet<EndpointId>,
    /// Moment of the next choice, when no endpoint could be named.
    pub retry_deadline: LocalTime,
    /// Whether bytes may have reached an endpoint in any attempt.
    pub may_have_run: bool,
    /// Moment after which no first attempt may start.
    pub start_deadline: LocalTime,
    /// Whether the call is claimed, so that a lapsed start ends it.
    pub is_claimed: bool,
}

/// Stage: tokens reach the caller.
#[derive(Debug, Clone)]
pub struct Answering {
    /// State of the attempt.
    pub dispatched: Dispatched,
    /// Tokens passed on over all attempts.
    pub delivered_tokens: u64,
}

/// A request in a stage.
#[derive(Debug, Clone)]
pub struct Request<S> {
    /// What is known of it.
    pub profile: RequestProfile,
    /// Its stage.
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

/// A request in any stage that still runs.
#[derive(Debug, Clone, From)]
pub enum RequestStage {
    /// Asking for admission.
    Received(Request<Received>),
    /// Asking for the claim.
    Admitted(Request<Admitted>),
    /// Handed to an endpoint.
    Dispatched(Request<Dispatched>),
    /// Tokens reach the caller.
    Answering(Request<Answering>),
}

impl RequestStage {
    /// Returns what is known of the request.
    #[must_use]
    pub const fn profile(&self) -> &RequestProfile {
        match self {
            Self::Received(request) => &request.profile,
            Self::Admitted(request) => &request.profile,
            Self::Dispatched(request) => &request.profile,
            Self::Answering(request) => &request.profile,
        }
    }

    /// Returns the dispatch state, once there is one.
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
