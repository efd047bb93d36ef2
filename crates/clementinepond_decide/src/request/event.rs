//! What can happen to a request.

use super::{AttemptNumber, RequestEnd, RequestProfile};
use crate::claim::RecordedAnswer;
use clementinepond_types::{LocalTime, RequestTicket, TimeSpan};

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer was passed on.
    Complete {
        /// Tokens that the endpoint counted, prompt included; none when it
        /// counts none.
        used_tokens: Option<u64>,
        /// The answer, when repeats of the call may ask for it.
        record: Option<Box<RecordedAnswer>>,
    },
    /// No byte of the request left for the endpoint.
    NotSent,
    /// The endpoint proved that it ran nothing.
    RefusedNotRun,
    /// The endpoint answered with an error of the caller's making; passed on.
    Rejected,
    /// Bytes may have arrived and the answer is not whole.
    Broken {
        /// Tokens already passed on to the caller.
        delivered_tokens: u64,
    },
}

/// What can happen to a request.
#[derive(Debug, Clone)]
pub enum RequestEvent {
    /// A request arrived.
    Arrived {
        /// Its number.
        ticket: RequestTicket,
        /// What is known of it.
        profile: RequestProfile,
    },
    /// The account's limit admits it.
    Admitted {
        /// Its number.
        ticket: RequestTicket,
        /// Moment after which the admission must not be used.
        deadline: LocalTime,
    },
    /// A claim allows the only run.
    ClaimGranted {
        /// Its number.
        ticket: RequestTicket,
        /// Moment after which the claim must not be used.
        deadline: LocalTime,
    },
    /// Another part ends it.
    Stopped {
        /// Its number.
        ticket: RequestTicket,
        /// The end.
        end: RequestEnd,
    },
    /// Tokens were passed on to the caller.
    Progressed {
        /// Its number.
        ticket: RequestTicket,
        /// Tokens passed on since the last such event.
        tokens: u64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Its number.
        ticket: RequestTicket,
        /// The attempt.
        attempt: AttemptNumber,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// The caller went away.
    CallerLeft {
        /// Its number.
        ticket: RequestTicket,
    },
    /// The key was withdrawn while the request was running.
    KeyWithdrawn {
        /// Its number.
        ticket: RequestTicket,
    },
    /// Time passed.
    Tick {
        /// Random number for new choices.
        seed: u64,
    },
    /// A time to wait before another choice of endpoint was set.
    NoEndpoint {
        /// Its number.
        ticket: RequestTicket,
        /// Time after which another try makes sense.
        retry_after: TimeSpan,
    },
}
