//! Messages that VMs exchange about crashes.

use super::identity::{CrashTicket, EndpointLoss, RequestFingerprint};
use super::loss::LossStatus;
use super::verdict::Verdict;
use clementinepond_types::{EndpointId, TimeSpan};
use serde::{Deserialize, Serialize};

/// Status of one lost process, as one VM reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossReport {
    /// Lost process.
    pub loss: EndpointLoss,
    /// Status of the loss.
    pub status: LossStatus,
}

/// Report on one request that was in flight at one lost process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Lost process.
    pub loss: EndpointLoss,
    /// Weight of the loss as evidence, in thousandths of a bit.
    pub evidence: u64,
    /// Time for which the request had run when the connection broke.
    pub run_time: TimeSpan,
    /// Whether the request was cleared of the loss by a completed run or an operator.
    pub cleared: bool,
}

/// Answer of the arbiter to a permit request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may run on this endpoint only.
    Run(EndpointId),
    /// The request has to wait; the arbiter answers again when the decision changes.
    Wait,
    /// The request has no uncleared loss and may run on any endpoint.
    Cleared,
}

/// Message between the crash guards of two VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CrashMessage {
    /// Broadcasts updates of losses, suspects and verdicts.
    Announce {
        /// Updated losses.
        losses: Vec<LossReport>,
        /// Updated suspects.
        suspects: Vec<SuspectReport>,
        /// New verdicts.
        verdicts: Vec<Verdict>,
        /// Endpoints where the sender runs suspects; `None` if unchanged.
        occupied: Option<Vec<EndpointId>>,
    },
    /// Requests a permit from the arbiter.
    RequestPermit {
        /// Run that requests the permit.
        ticket: CrashTicket,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Endpoints that can run it, shortest expected wait first.
        candidates: Vec<EndpointId>,
        /// Losses of the request at the sender, cleared ones included.
        suspects: Vec<SuspectReport>,
        /// Statuses of the uncleared losses at the sender.
        losses: Vec<LossReport>,
        /// Time left until the run is refused.
        time_left: TimeSpan,
    },
    /// Answers a permit request.
    Permit {
        /// Run that requested the permit.
        ticket: CrashTicket,
        /// Decision of the arbiter.
        reply: PermitReply,
    },
    /// Registers the run of a suspect with the arbiter, or renews its permit.
    Running {
        /// Run that is registered.
        ticket: CrashTicket,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Endpoint that runs it.
        endpoint: EndpointId,
    },
    /// Notifies the arbiter that a run ended or will not be sent.
    RunEnded {
        /// Run that ended.
        ticket: CrashTicket,
        /// Losses of the request at the sender, cleared ones included.
        suspects: Vec<SuspectReport>,
        /// Statuses of the uncleared losses at the sender.
        losses: Vec<LossReport>,
    },
}
