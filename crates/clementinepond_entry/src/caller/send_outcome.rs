//! Outcome of one send.

use crate::endpoint::{AttemptAnswer, AttemptFailure};

/// Outcome of one send.
#[derive(Debug)]
pub(super) enum SendOutcome {
    Answered(Box<AttemptAnswer>),
    Failed(AttemptFailure),
    Silent,
    TimedOut,
}

impl SendOutcome {
    /// Returns the name for logs.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Failed(AttemptFailure::Foreign) => "foreign",
            Self::Failed(_) => "broken",
            Self::Silent => "silent",
            Self::TimedOut => "timed_out",
        }
    }
}
