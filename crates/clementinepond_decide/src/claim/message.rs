//! What VMs tell each other about claims.

use super::effect::ClaimRefusal;
use super::event::RunOutcome;
use super::key::{BodyFingerprint, ClaimKey, KeyDate, ShardNumber};
use super::record::{ClaimTicket, RecordedAnswer, RunHolder, VmIncarnation};
use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Answer of a shard's owner to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerReply {
    /// The call may run.
    Granted,
    /// Another call under the key is running.
    Joined,
    /// The key's call ran.
    Replay(Option<RecordedAnswer>),
    /// The key's call may have run.
    Unknown,
    /// The call may not run.
    Refused(ClaimRefusal),
}

/// Report of the VM that was granted a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunReport {
    /// The run ended.
    Ended(RunOutcome),
    /// Nothing ran, and nothing will run under this grant.
    NotRun,
}

/// State of a claim in a copy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyState {
    /// Granted, or about to be.
    Running {
        /// Call that may run.
        holder: RunHolder,
        /// Time left until the outcome counts as unknown.
        time_left: TimeSpan,
    },
    /// Ran, and was answered.
    Answered(Option<RecordedAnswer>),
    /// May have run.
    Unknown,
    /// Provably did not run; the claim is free again.
    Released,
}

/// Copy of one claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyRecord {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Hash of the request body.
    pub fingerprint: BodyFingerprint,
    /// Whether the key names a moment.
    pub dated: bool,
    /// Number of the change; larger is newer within a term.
    pub sequence: u64,
    /// State.
    pub state: CopyState,
}

/// What a witness holds of a former term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CollectedCopies {
    /// Some records, in order of key.
    Records {
        /// Records.
        records: Vec<CopyRecord>,
        /// Whether there are records after these.
        more: bool,
    },
    /// The witness restarted and holds nothing.
    Lost,
}

/// One message between VMs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ClaimMessage {
    /// Asks the owner for a claim.
    Request {
        /// Call that wants to run.
        holder: RunHolder,
        /// Key of the claim.
        key: ClaimKey,
        /// Hash of the request body.
        fingerprint: BodyFingerprint,
        /// Moment that the caller's key names.
        date: KeyDate,
        /// Time left until the latest moment of dispatch.
        time_left: TimeSpan,
    },
    /// Answers a call.
    Answer {
        /// Process that asked.
        incarnation: VmIncarnation,
        /// Call that asked.
        ticket: ClaimTicket,
        /// Answer.
        reply: OwnerReply,
    },
    /// Reports on a granted claim.
    Report {
        /// Call that was granted the claim.
        holder: RunHolder,
        /// Key of the claim.
        key: ClaimKey,
        /// Hash of the request body.
        fingerprint: BodyFingerprint,
        /// Whether the key names a moment.
        dated: bool,
        /// Report.
        report: RunReport,
    },
    /// Confirms that a report is durable.
    ReportAcknowledged {
        /// Process that reported.
        incarnation: VmIncarnation,
        /// Call that reported.
        ticket: ClaimTicket,
    },
    /// Asks a VM to become a replica.
    Enlist {
        /// Shard.
        shard: ShardNumber,
        /// Term of the owner.
        term: u64,
    },
    /// Agrees to be a replica.
    Enlisted {
        /// Shard.
        shard: ShardNumber,
        /// Term of the owner.
        term: u64,
        /// Process that agrees.
        incarnation: VmIncarnation,
    },
    /// Copies claims to a replica.
    Copy {
        /// Shard.
        shard: ShardNumber,
        /// Term of the owner.
        term: u64,
        /// Replica process that the copies are meant for.
        incarnation: VmIncarnation,
        /// Changes up to this one are on the platform.
        flushed: u64,
        /// Changed claims.
        records: Vec<CopyRecord>,
    },
    /// Confirms copies.
    CopyAcknowledged {
        /// Shard.
        shard: ShardNumber,
        /// Term of the owner.
        term: u64,
        /// Process that holds the copies.
        incarnation: VmIncarnation,
        /// Claims and numbers of their changes.
        copied: Vec<(ClaimKey, u64)>,
    },
    /// Refuses copies, because a newer owner is known.
    CopyRefused {
        /// Shard.
        shard: ShardNumber,
        /// Term of the newer owner.
        term: u64,
    },
    /// Asks a witness of a former term for its records.
    Collect {
        /// Shard.
        shard: ShardNumber,
        /// Term of the new owner.
        term: u64,
        /// Term whose records are wanted.
        former: u64,
        /// Witness process that is meant.
        incarnation: VmIncarnation,
        /// Key after which records are wanted.
        after: Option<ClaimKey>,
    },
    /// Hands records over to a new owner.
    Collected {
        /// Shard.
        shard: ShardNumber,
        /// Term of the new owner.
        term: u64,
        /// Witness process that was meant.
        incarnation: VmIncarnation,
        /// Key after which the records follow.
        after: Option<ClaimKey>,
        /// Records.
        copies: CollectedCopies,
    },
}
