//! What VMs tell each other about crashes.

use super::identity::{CrashTicket, EndpointLoss, RequestFingerprint};
use super::loss::LossFate;
use super::verdict::Verdict;
use clementinepond_types::{EndpointId, TimeSpan};
use serde::{Deserialize, Serialize};

/// Knowledge about one lost process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossReport {
    /// Process.
    pub loss: EndpointLoss,
    /// What became of it.
    pub fate: LossFate,
}

/// Knowledge about one request at one lost process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Request.
    pub fingerprint: RequestFingerprint,
    /// Process.
    pub loss: EndpointLoss,
    /// Weight of the loss, in thousandths of a bit.
    pub evidence: u64,
    /// Time for which the request had run.
    pub run_time: TimeSpan,
    /// Whether the request completed a run afterwards.
    pub cleared: bool,
}

/// Answer of the arbiter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may run on this endpoint.
    Run(EndpointId),
    /// The request has to wait; the arbiter answers again.
    Wait,
    /// Nothing is held against the request.
    Sound,
}

/// One message between VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// News about losses, suspects and verdicts.
    Announce {
        /// Lost processes.
        losses: Vec<LossReport>,
        /// Requests at them.
        suspects: Vec<SuspectReport>,
        /// Verdicts.
        verdicts: Vec<Verdict>,
        /// Endpoints where the sender runs suspects; `None` is no news.
        occupied: Option<Vec<EndpointId>>,
    },
    /// Asks the arbiter for a permit.
    AskPermit {
        /// Run that asks.
        ticket: CrashTicket,
        /// Request.
        fingerprint: RequestFingerprint,
        /// Endpoints that can run it, best first.
        candidates: Vec<EndpointId>,
        /// Losses that the sender holds against it.
        suspects: Vec<SuspectReport>,
        /// What the sender knows of them.
        losses: Vec<LossReport>,
        /// Time left until the run is given up.
        time_left: TimeSpan,
    },
    /// Answers a request for a permit.
    Permit {
        /// Run that asked.
        ticket: CrashTicket,
        /// Answer.
        reply: PermitReply,
    },
    /// Tells the arbiter that a suspect is running.
    Running {
        /// Run.
        ticket: CrashTicket,
        /// Request.
        fingerprint: RequestFingerprint,
        /// Endpoint.
        endpoint: EndpointId,
    },
    /// Tells the arbiter that a run is over or does not take place.
    RunOver {
        /// Run.
        ticket: CrashTicket,
        /// What the sender holds against the request.
        suspects: Vec<SuspectReport>,
        /// What the sender knows of the losses.
        losses: Vec<LossReport>,
    },
}
