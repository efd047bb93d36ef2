//! What a VM asks of its edges.

use crate::request::{DispatchOrder, RequestEnd};
use clementinepond_types::{EndpointId, RequestTicket};

/// What a VM asks of its edges.
#[derive(Debug, Clone)]
pub enum NodeEffect {
    /// Send a request to an endpoint.
    Dispatch(DispatchOrder),
    /// Cancel what runs at the endpoint.
    Cancel {
        /// The request.
        ticket: RequestTicket,
        /// The endpoint that runs it, when one does.
        endpoint: Option<EndpointId>,
    },
    /// Tell the caller how the request ended.
    Finish {
        /// The request.
        ticket: RequestTicket,
        /// The end.
        end: RequestEnd,
    },
}
