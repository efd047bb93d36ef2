//! Outcome that a peer states of a forwarded request.

use crate::endpoint::AttemptFailure;
use crate::http::ConnectFailure;
use clementinepond_dispatch::stream::BodyFraming;
use derive_more::{Display, FromStr};
use hyper::header::{HeaderMap, HeaderValue};

/// Header of the outcome.
const OUTCOME_HEADER: &str = "clementinepond-forward-outcome";

/// Outcome of a forwarded request.
#[derive(Debug, Display, FromStr, Clone, Copy, PartialEq, Eq)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub(super) enum ForwardOutcome {
    /// The answer is the endpoint's.
    Answered,
    /// The answer is the endpoint's and ended with its connection.
    AnsweredUnframed,
    /// The peer does not reach the endpoint; nothing was sent.
    Unreachable,
    /// The peer takes no request; nothing was sent.
    Unavailable,
    /// The connection was lost, or the deadline passed; the request may have run.
    Broken,
    /// The answer belongs to another request or is not signed.
    Foreign,
}

impl ForwardOutcome {
    /// Returns the outcome of an answer that the endpoint gave.
    pub(super) fn of_answer(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::Connection => Self::AnsweredUnframed,
            BodyFraming::Length | BodyFraming::Chunks => Self::Answered,
        }
    }

    /// Returns the outcome of an attempt without an answer.
    pub(super) const fn of_failure(failure: AttemptFailure) -> Self {
        match failure {
            AttemptFailure::NotSent(_) => Self::Unreachable,
            AttemptFailure::Broken | AttemptFailure::Silent => Self::Broken,
            AttemptFailure::Foreign => Self::Foreign,
        }
    }

    /// Returns the failure of the attempt; `None` if the endpoint answered.
    pub(super) const fn failure(self) -> Option<AttemptFailure> {
        match self {
            Self::Answered | Self::AnsweredUnframed => None,
            Self::Unreachable => Some(AttemptFailure::NotSent(ConnectFailure::Confirmed)),
            Self::Unavailable => Some(AttemptFailure::NotSent(ConnectFailure::Failed)),
            Self::Broken => Some(AttemptFailure::Broken),
            Self::Foreign => Some(AttemptFailure::Foreign),
        }
    }

    pub(super) fn write(self, headers: &mut HeaderMap) {
        if let Ok(value) = HeaderValue::from_str(&self.to_string()) {
            headers.insert(OUTCOME_HEADER, value);
        }
    }

    /// Removes the outcome from the headers of an answer; `None` if it states none.
    pub(super) fn take(headers: &mut HeaderMap) -> Option<Self> {
        headers.remove(OUTCOME_HEADER)?.to_str().ok()?.parse().ok()
    }
}
