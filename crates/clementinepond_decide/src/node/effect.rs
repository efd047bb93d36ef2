//! Effects of the node reducer, carried out by the I/O layer.

use super::PeerMessage;
use crate::claim::ClaimEffect;
use crate::configuration::ConfigurationEffect;
use crate::crash::CrashEffect;
use crate::plan::PlanEffect;
use crate::request::{DispatchOrder, RequestEnd};
use crate::roster::RosterEffect;
use clementinepond_types::{EndpointId, RequestTicket, VmId};

/// Effect of the node reducer.
#[derive(Debug, Clone)]
pub enum NodeEffect {
    /// Sends a request to an endpoint.
    Dispatch(DispatchOrder),
    /// Cancels the current attempt of a request.
    Cancel {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// Endpoint that runs the request; none when it was not dispatched.
        endpoint: Option<EndpointId>,
    },
    /// Reports the end of a request to its caller.
    Finish {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// How the request ended.
        end: RequestEnd,
    },
    /// Sends a message to another VM.
    Send {
        /// VM that receives the message.
        to: VmId,
        /// Message to send.
        message: Box<PeerMessage>,
    },
    /// Sends a message to an address whose VM is unknown.
    SendAddress {
        /// Address, as host and port.
        address: Box<str>,
        /// Message to send.
        message: Box<PeerMessage>,
    },
    /// Effect of the roster reducer.
    Roster(RosterEffect),
    /// Effect of the configuration reducer.
    Configuration(ConfigurationEffect),
    /// Effect of the claim reducer.
    Claim(ClaimEffect),
    /// Effect of the crash guard.
    Crash(CrashEffect),
    /// Effect of the placement reducer.
    Plan(PlanEffect),
    /// Allows the process to stop: the VM has released its parts of the roster.
    Released,
}
