//! Events of the request reducer.

use super::{AttemptNumber, RequestEnd, RequestProfile};
use crate::claim::RecordedAnswer;
use clementinepond_types::{LocalTime, RequestTicket, TimeSpan};

/// Outcome of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was delivered to the caller.
    Complete {
        /// Tokens that the endpoint counted, prompt included; `None` if it does not
        /// count tokens.
        used_tokens: Option<u64>,
        /// Answer to record for retries under the same idempotency key; `None` if it is not
        /// to be recorded.
        record: Option<Box<RecordedAnswer>>,
    },
    /// No byte of the request was sent to the endpoint.
    NotSent,
    /// The endpoint's answer shows that it did not run the request.
    RefusedNotRun,
    /// The endpoint answered with an error caused by the caller, which was delivered to
    /// the caller.
    Rejected,
    /// Bytes may have reached the endpoint, and the answer is incomplete.
    Broken {
        /// Tokens delivered to the caller.
        delivered_tokens: u64,
    },
}

/// Event of the request reducer.
#[derive(Debug, Clone)]
pub enum RequestEvent {
    /// A request arrived.
    Arrived {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Properties of the request.
        profile: RequestProfile,
    },
    /// The account's limit admitted the request.
    Admitted {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Time after which the admission must not be used.
        deadline: LocalTime,
    },
    /// The claim was granted, which permits this VM to run the request.
    ClaimGranted {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Time after which the claim must not be used.
        deadline: LocalTime,
    },
    /// Another reducer of the node ended the request.
    Stopped {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// End of the request.
        end: RequestEnd,
    },
    /// Tokens were delivered to the caller.
    Progressed {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Tokens delivered since the last such event.
        tokens: u64,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// The caller disconnected.
    CallerLeft {
        /// Ticket of the request.
        ticket: RequestTicket,
    },
    /// The caller's key was withdrawn during the request.
    KeyWithdrawn {
        /// Ticket of the request.
        ticket: RequestTicket,
    },
    /// Periodic timer.
    Tick {
        /// Random number for the choice of endpoints.
        seed: u64,
    },
    /// No endpoint could be chosen for the request.
    NoEndpoint {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Time after which another choice may succeed.
        retry_after: TimeSpan,
    },
}
