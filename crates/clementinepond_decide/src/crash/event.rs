//! Events of the crash guard.

use super::identity::{CrashTicket, EndpointIncarnation, RequestFingerprint};
use super::message::CrashMessage;
use super::object::VerdictObject;
use crate::port::{ReadReply, StoreReply};
use clementinepond_types::{DataCentreId, EndpointId, Epoch, LocalTime, VmId};
use serde::{Deserialize, Serialize};

/// Event of the crash guard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CrashEvent {
    /// A request is about to be sent to an endpoint, as a first attempt or a retry.
    RunRequested {
        /// Ticket of the run; never reused by one VM process.
        ticket: CrashTicket,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Endpoints that can run it, shortest expected wait first.
        candidates: Vec<EndpointId>,
        /// Time at which a run without a permit is refused.
        deadline: LocalTime,
    },
    /// The run was sent to an endpoint.
    Dispatched {
        /// Ticket of the run.
        ticket: CrashTicket,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Endpoint that runs it.
        endpoint: EndpointId,
        /// Incarnation in the endpoint's last report.
        incarnation: EndpointIncarnation,
    },
    /// The endpoint answered the run completely.
    Completed {
        /// Ticket of the run.
        ticket: CrashTicket,
    },
    /// The run was cancelled, refused by the endpoint, or never sent.
    Stopped {
        /// Ticket of the run.
        ticket: CrashTicket,
    },
    /// The connection broke before the answer was complete.
    StreamBroken {
        /// Ticket of the run.
        ticket: CrashTicket,
    },
    /// An endpoint sent a report.
    EndpointReported {
        /// Endpoint that reported.
        endpoint: EndpointId,
        /// Incarnation in the report.
        incarnation: EndpointIncarnation,
        /// Time at which the report was requested.
        requested_at: LocalTime,
    },
    /// The latest report of an endpoint became older than the node's time limit.
    EndpointUnreachable {
        /// Endpoint that is unreachable.
        endpoint: EndpointId,
    },
    /// A message from another VM arrived.
    Received {
        /// VM that sent it.
        from: VmId,
        /// Message received.
        message: CrashMessage,
    },
    /// A roster was received; ignored unless its epoch is newer than the known one.
    RosterChanged {
        /// Data centre of the roster.
        data_centre: DataCentreId,
        /// Epoch of the roster; larger is newer.
        epoch: Epoch,
        /// VMs in the roster.
        members: Vec<VmId>,
    },
    /// The platform answered a write of the verdict object.
    StoreReplied {
        /// Outcome of the write.
        reply: StoreReply<VerdictObject>,
    },
    /// The platform answered a read of the verdict object.
    ReadReplied {
        /// Outcome of the read.
        reply: ReadReply<VerdictObject>,
    },
    /// An operator requested the release of a blocked request.
    Release {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
    },
    /// Periodic timer.
    Tick,
}
