//! What the crash guard asks its edge to do.

use super::identity::{CrashTicket, RequestFingerprint};
use super::message::CrashMessage;
use super::object::VerdictObject;
use clementinepond_types::{EndpointId, ObjectVersion, TimeSpan, VmId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Reason for which a run was refused; it did not take place.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashRefusal {
    /// The request crashed endpoints before.
    #[display(
        "request crashed the endpoints that ran it; change it, or ask an operator to release it"
    )]
    Poison,
    /// No endpoint came free for a suspect before the deadline.
    #[display("request waits for an endpoint of its own after a crash; send it again later")]
    Crowded,
}

/// One effect of the crash guard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CrashEffect {
    /// The run may be sent to any endpoint.
    Pass {
        /// Number of the run.
        ticket: CrashTicket,
        /// Endpoints where suspects run; others are better while there are any.
        avoid: Vec<EndpointId>,
    },
    /// The run may be sent to this endpoint only.
    RunAlone {
        /// Number of the run.
        ticket: CrashTicket,
        /// Endpoint.
        endpoint: EndpointId,
    },
    /// The run has to wait; another effect for it follows by its deadline.
    Wait {
        /// Number of the run.
        ticket: CrashTicket,
    },
    /// The run must not take place.
    Refused {
        /// Number of the run.
        ticket: CrashTicket,
        /// Time after which the caller may ask again.
        retry_after: TimeSpan,
        /// Reason.
        reason: CrashRefusal,
    },
    /// A request was condemned or released.
    VerdictChanged {
        /// Request.
        fingerprint: RequestFingerprint,
        /// Whether it was released.
        released: bool,
    },
    /// Send a message to another VM.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: CrashMessage,
    },
    /// Read the verdicts.
    Read,
    /// Update the verdicts if the object has the expected version.
    Store {
        /// Expected version; `None` creates the object.
        expected: Option<ObjectVersion>,
        /// New value.
        object: VerdictObject,
    },
}
