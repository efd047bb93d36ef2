//! Effects of the crash guard, carried out by the I/O layer.

use super::identity::{CrashTicket, RequestFingerprint};
use super::message::CrashMessage;
use super::object::VerdictObject;
use clementinepond_types::{EndpointId, ObjectVersion, TimeSpan, VmId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Reason why a run was refused before it was sent to an endpoint.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashRefusal {
    /// The request crashed endpoints and is blocked.
    #[display(
        "request is blocked because it crashed the endpoints that ran it; change it, or ask an operator to release it"
    )]
    Poison,
    /// The arbiter granted a suspect no permit before the deadline.
    #[display(
        "request was in flight at a crashed endpoint and got no permit to run before its deadline; send it again later"
    )]
    Crowded,
}

/// Effect of the crash guard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CrashEffect {
    /// The run may be sent to any endpoint.
    Pass {
        /// Ticket of the run.
        ticket: CrashTicket,
        /// Endpoints where suspects run; to be used only when no other is available.
        avoid: Vec<EndpointId>,
    },
    /// The run may be sent to this endpoint only, which less likely culprits may share.
    RunAlone {
        /// Ticket of the run.
        ticket: CrashTicket,
        /// Endpoint that the permit is for.
        endpoint: EndpointId,
    },
    /// The run has to wait; `Pass`, `RunAlone` or `Refused` follows unless the run ends
    /// before. A run without a permit is refused at the first tick at or after its
    /// deadline.
    Wait {
        /// Ticket of the run.
        ticket: CrashTicket,
    },
    /// The run must not be sent.
    Refused {
        /// Ticket of the run.
        ticket: CrashTicket,
        /// Time after which the caller may retry.
        retry_after: TimeSpan,
        /// Reason for the refusal.
        reason: CrashRefusal,
    },
    /// A request was blocked or released.
    VerdictChanged {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Whether it was released; blocked otherwise.
        released: bool,
    },
    /// Send a message to another VM.
    Send {
        /// VM that receives it.
        to: VmId,
        /// Message to send.
        message: CrashMessage,
    },
    /// Read the stored verdict object.
    Read,
    /// Write the verdict object if it has the expected version.
    Store {
        /// Expected version; `None` creates the object.
        expected: Option<ObjectVersion>,
        /// New content.
        object: VerdictObject,
    },
}
