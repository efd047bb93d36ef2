//! What can happen to the crash guard.

use super::identity::{CrashTicket, EndpointIncarnation, RequestFingerprint};
use super::message::CrashMessage;
use super::object::VerdictObject;
use crate::port::{ReadReply, StoreReply};
use clementinepond_types::{DataCentreId, EndpointId, Epoch, LocalTime, VmId};
use serde::{Deserialize, Serialize};

/// One event of the crash guard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CrashEvent {
    /// A request is about to be sent to an endpoint, for the first time or again.
    Ask {
        /// Number of the run; never used twice by one process.
        ticket: CrashTicket,
        /// Request.
        fingerprint: RequestFingerprint,
        /// Endpoints that can run it, best first.
        candidates: Vec<EndpointId>,
        /// Moment at which the run is given up.
        deadline: LocalTime,
    },
    /// The run was sent to an endpoint.
    Dispatched {
        /// Number of the run.
        ticket: CrashTicket,
        /// Request.
        fingerprint: RequestFingerprint,
        /// Endpoint.
        endpoint: EndpointId,
        /// Endpoint process that last reported.
        incarnation: EndpointIncarnation,
    },
    /// The endpoint answered the run completely.
    Completed {
        /// Number of the run.
        ticket: CrashTicket,
    },
    /// The run was cancelled, refused by the endpoint, or never sent.
    Stopped {
        /// Number of the run.
        ticket: CrashTicket,
    },
    /// The connection broke before the answer was complete.
    StreamBroken {
        /// Number of the run.
        ticket: CrashTicket,
    },
    /// An endpoint reported.
    EndpointSeen {
        /// Endpoint.
        endpoint: EndpointId,
        /// Process that reported.
        incarnation: EndpointIncarnation,
        /// Moment at which the report was asked for.
        asked_at: LocalTime,
    },
    /// An endpoint has not been reachable for the edge's time limit.
    EndpointLost {
        /// Endpoint.
        endpoint: EndpointId,
    },
    /// A message came from another VM.
    Received {
        /// Sender.
        from: VmId,
        /// Message.
        message: CrashMessage,
    },
    /// A roster was learned.
    RosterChanged {
        /// Data centre of the roster.
        data_centre: DataCentreId,
        /// Generation of the roster.
        epoch: Epoch,
        /// VMs of the roster.
        members: Vec<VmId>,
    },
    /// The write of the verdicts was answered.
    StoreReplied {
        /// Answer.
        reply: StoreReply<VerdictObject>,
    },
    /// The read of the verdicts was answered.
    ReadReplied {
        /// Answer.
        reply: ReadReply<VerdictObject>,
    },
    /// An operator releases a request.
    Release {
        /// Request.
        fingerprint: RequestFingerprint,
    },
    /// Time passed.
    Tick,
}
