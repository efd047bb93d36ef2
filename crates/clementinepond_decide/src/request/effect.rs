//! Effects of the request reducer.

use super::{AttemptNumber, RequestEnd, RequestProfile};
use crate::route::RouteQuery;
use clementinepond_types::{EndpointId, LocalTime, RequestTicket, TokenCount};

/// Order for the I/O layer to send a request to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchOrder {
    /// Ticket of the request.
    pub ticket: RequestTicket,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Endpoint to send to.
    pub endpoint: EndpointId,
    /// Tokens already delivered to the caller; the answer resumes after them.
    pub resume_from: u64,
    /// Time after which the order must be dropped.
    pub deadline: LocalTime,
}

/// Effect for the other reducers of the node or for the I/O layer.
#[derive(Debug, Clone)]
pub enum RequestEffect {
    /// Request admission within the account's limit.
    RequestAdmission {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Properties of the request.
        profile: RequestProfile,
    },
    /// Request the claim of a request with an idempotency key.
    RequestClaim {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Properties of the request.
        profile: RequestProfile,
    },
    /// Choose an endpoint and dispatch to it.
    Dispatch {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Requirements for the endpoint.
        query: RouteQuery,
        /// Tokens already delivered to the caller; the answer resumes after them.
        resume_from: u64,
        /// Time after which the attempt must not start.
        deadline: LocalTime,
    },
    /// Cancel the attempt in flight, if any.
    Cancel {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Endpoint of the attempt; `None` if no endpoint was chosen.
        endpoint: Option<EndpointId>,
    },
    /// Report the generated tokens to the account's limit.
    Progress {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Tokens delivered to the caller so far, over all attempts.
        tokens: u64,
    },
    /// End the admission, waiting or granted, and return the tokens that the request did
    /// not use.
    Settle {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Tokens used; all reserved tokens if the number is not known.
        used: TokenCount,
    },
    /// Return an expired admission and request a new one.
    RenewAdmission {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Properties of the request.
        profile: RequestProfile,
    },
    /// Report the end of the request to the claim.
    CloseClaim {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// End that the claim records.
        end: RequestEnd,
    },
    /// Report the end of the request to the caller.
    Finish {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// End of the request.
        end: RequestEnd,
    },
}
