//! What a request asks of the other parts and of the edge.

use super::{AttemptNumber, RequestEnd, RequestProfile};
use crate::route::RouteQuery;
use clementinepond_types::{EndpointId, LocalTime, RequestTicket, TokenCount};

/// Order to send a request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchOrder {
    /// The request.
    pub ticket: RequestTicket,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Tokens that the caller already has.
    pub resume_from: u64,
    /// Moment after which the order must be dropped.
    pub deadline: LocalTime,
}

/// What a request asks of the other parts and of the edge.
#[derive(Debug, Clone)]
pub enum RequestEffect {
    /// Ask for admission within the account's limit.
    AskLimit {
        /// The request.
        ticket: RequestTicket,
        /// What is known of it.
        profile: RequestProfile,
    },
    /// Ask for the claim of a keyed request.
    AskClaim {
        /// The request.
        ticket: RequestTicket,
        /// What is known of it.
        profile: RequestProfile,
    },
    /// Choose an endpoint and dispatch to it.
    Dispatch {
        /// The request.
        ticket: RequestTicket,
        /// The attempt.
        attempt: AttemptNumber,
        /// What the request needs.
        query: RouteQuery,
        /// Tokens that the caller already has.
        resume_from: u64,
        /// Moment after which the order must be dropped.
        deadline: LocalTime,
    },
    /// Cancel what runs at the endpoint.
    Cancel {
        /// The request.
        ticket: RequestTicket,
        /// The endpoint that runs it, when one does.
        endpoint: Option<EndpointId>,
    },
    /// Tell the limit that tokens were generated.
    Progress {
        /// The request.
        ticket: RequestTicket,
        /// Tokens generated so far.
        tokens: u64,
    },
    /// Give back what the request reserved and did not use.
    Settle {
        /// The request.
        ticket: RequestTicket,
        /// Tokens used; all that was reserved when it is not known.
        used: TokenCount,
    },
    /// Give back a lapsed admission and ask for a new one.
    AskAgain {
        /// The request.
        ticket: RequestTicket,
        /// What is known of it.
        profile: RequestProfile,
    },
    /// Tell the claim how the run ended.
    CloseClaim {
        /// The request.
        ticket: RequestTicket,
        /// The end.
        end: RequestEnd,
    },
    /// Tell the caller.
    Finish {
        /// The request.
        ticket: RequestTicket,
        /// The end.
        end: RequestEnd,
    },
}
