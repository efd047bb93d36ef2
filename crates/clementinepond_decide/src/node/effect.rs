//! What a VM asks of its edges.

use super::PeerMessage;
use crate::claim::ClaimEffect;
use crate::configuration::ConfigurationEffect;
use crate::crash::CrashEffect;
use crate::plan::PlanEffect;
use crate::request::{DispatchOrder, RequestEnd};
use crate::roster::RosterEffect;
use clementinepond_types::{EndpointId, RequestTicket, VmId};

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
    /// Send a message to another VM.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: Box<PeerMessage>,
    },
    /// Send a message to an address whose VM is not known.
    SendAddress {
        /// Address.
        address: Box<str>,
        /// Message.
        message: Box<PeerMessage>,
    },
    /// Work for the edge of the roster.
    Roster(RosterEffect),
    /// Work for the edge of the configuration.
    Configuration(ConfigurationEffect),
    /// Work for the edge of claims.
    Claim(ClaimEffect),
    /// Work for the edge of the crash guard.
    Crash(CrashEffect),
    /// Work for the edge of placement.
    Plan(PlanEffect),
    /// The VM holds nothing any more and may stop.
    Released,
}
