//! Messages between VMs about claims.

use super::effect::ClaimRefusal;
use super::event::RunOutcome;
use super::key::{BodyFingerprint, ClaimKey, KeyDate, ShardNumber};
use super::record::{ClaimTicket, RecordedAnswer, RunHolder, VmIncarnation};
use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Answer of a shard's owner to a claim request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerReply {
    /// The claim is granted; the call may run.
    Granted,
    /// Another call under the key is running; the requester waits for its outcome.
    Joined,
    /// A call under the key has run; `None` if its answer is not kept.
    Replay(Option<RecordedAnswer>),
    /// A call under the key may have run.
    Unknown,
    /// The claim is refused; the call must not run.
    Refused(ClaimRefusal),
}

/// Report of the VM that requested a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunReport {
    /// The run ended.
    Ended(RunOutcome),
    /// Nothing ran and nothing will run for this call.
    NotRun,
}

/// State of a copied claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyState {
    /// Granted, or granted as soon as it is durable.
    Running {
        /// Call that holds the claim.
        holder: RunHolder,
        /// Time left until the outcome counts as unknown.
        time_left: TimeSpan,
    },
    /// Ran and was answered; `None` if the answer is not kept.
    Answered(Option<RecordedAnswer>),
    /// May have run.
    Unknown,
    /// Provably did not run; the key may be claimed again.
    Released,
}

/// Copy of one claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRecord {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Hash of the request body.
    pub fingerprint: BodyFingerprint,
    /// Whether the key carries a creation time.
    pub dated: bool,
    /// Sequence number of the change; larger is newer within a term.
    pub sequence: u64,
    /// State of the claim.
    pub state: CopyState,
}

/// Records of a former term that a witness holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CollectedCopies {
    /// One batch of records, in order of key.
    Records {
        /// Copied claims.
        records: Vec<CopyRecord>,
        /// Whether more records follow this batch.
        more: bool,
    },
    /// The process named as a witness is gone, and its copies with it.
    Lost,
}

/// Message between VMs about claims.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// Requests a claim from the owner.
    Request {
        /// Call that requests the claim.
        holder: RunHolder,
        /// Key of the claim.
        key: ClaimKey,
        /// Hash of the request body.
        fingerprint: BodyFingerprint,
        /// Creation time of the caller's key, relative to its arrival.
        date: KeyDate,
        /// Time left until the call's dispatch deadline.
        time_left: TimeSpan,
    },
    /// Answers a claim request.
    Answer {
        /// Incarnation of the requesting process.
        incarnation: VmIncarnation,
        /// Ticket of the requesting call.
        ticket: ClaimTicket,
        /// Owner's answer.
        reply: OwnerReply,
    },
    /// Reports how a call ended to the owner.
    Report {
        /// Call that requested the claim.
        holder: RunHolder,
        /// Key of the claim.
        key: ClaimKey,
        /// Hash of the request body.
        fingerprint: BodyFingerprint,
        /// Whether the key carries a creation time.
        dated: bool,
        /// How the call ended.
        report: RunReport,
    },
    /// Confirms a report: one of a run once it is durable, `NotRun` at once.
    ReportAcknowledged {
        /// Incarnation of the reporting process.
        incarnation: VmIncarnation,
        /// Ticket of the reporting call.
        ticket: ClaimTicket,
    },
    /// Requests a VM to become a replica.
    Enlist {
        /// Number of the shard.
        shard: ShardNumber,
        /// Term of the owner.
        term: u64,
    },
    /// Accepts to be a replica.
    Enlisted {
        /// Number of the shard.
        shard: ShardNumber,
        /// Term of the owner.
        term: u64,
        /// Incarnation of the accepting process.
        incarnation: VmIncarnation,
    },
    /// Copies claims to a replica.
    Copy {
        /// Number of the shard.
        shard: ShardNumber,
        /// Term of the owner.
        term: u64,
        /// Incarnation of the replica process that the copies are addressed to.
        incarnation: VmIncarnation,
        /// Sequence number up to which all changes are stored in the platform.
        flushed: u64,
        /// Copies of the changed claims.
        records: Vec<CopyRecord>,
    },
    /// Confirms that copies are held.
    CopyAcknowledged {
        /// Number of the shard.
        shard: ShardNumber,
        /// Term of the owner.
        term: u64,
        /// Incarnation of the process that holds the copies.
        incarnation: VmIncarnation,
        /// Keys of the copied claims with the sequence numbers of their changes.
        copied: Vec<(ClaimKey, u64)>,
    },
    /// Refuses copies because a newer term is known.
    CopyRefused {
        /// Number of the shard.
        shard: ShardNumber,
        /// Newest known term.
        term: u64,
    },
    /// Requests the records of a former term from a witness.
    Collect {
        /// Number of the shard.
        shard: ShardNumber,
        /// Term of the new owner.
        term: u64,
        /// Former term whose records are requested.
        former: u64,
        /// Incarnation of the witness process.
        incarnation: VmIncarnation,
        /// Key after which the batch starts; `None` for the first batch.
        after: Option<ClaimKey>,
    },
    /// Returns one batch of a witness's records to the new owner.
    Collected {
        /// Number of the shard.
        shard: ShardNumber,
        /// Term of the new owner.
        term: u64,
        /// Incarnation of the requested witness process.
        incarnation: VmIncarnation,
        /// Key after which the batch starts; `None` for the first batch.
        after: Option<ClaimKey>,
        /// Records of the batch.
        copies: CollectedCopies,
    },
}
