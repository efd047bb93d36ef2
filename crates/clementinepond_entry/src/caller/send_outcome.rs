//! Outcome of sending a request to an endpoint.

use crate::endpoint::{AttemptAnswer, AttemptFailure};

/// Outcome of sending a request to an endpoint.
#[derive(Debug)]
pub(super) enum SendOutcome {
    /// The head of the answer arrived.
    Answered(Box<AttemptAnswer>),
    /// The attempt failed.
    Failed(AttemptFailure),
    /// No answer arrived before the request's deadline.
    TimedOut,
    /// The request was withdrawn before its answer, since requests like it crash endpoints.
    Withdrawn,
}

impl SendOutcome {
    /// Returns the name used in log lines.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(AttemptFailure::Foreign) => "foreign",
            Self::Failed(AttemptFailure::Silent) => "silent",
            Self::Failed(_) => "broken",
            Self::TimedOut => "timed_out",
            Self::Withdrawn => "withdrawn",
        }
    }
}
