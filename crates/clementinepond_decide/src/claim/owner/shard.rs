//! Stages of a shard at its owner.

use crate::claim::effect::ClaimEffect;
use crate::claim::key::{BodyFingerprint, ClaimKey, ShardNumber};
use crate::claim::message::{CopyRecord, CopyState};
use crate::claim::object::{
    OBJECT_OVERHEAD, RECORD_WIDTH, RUNNING_RECORD_MAX_SIZE, ShardObject, ShardWitness,
};
use crate::claim::record::{RecordedAnswer, RunHolder, VmIncarnation};
use crate::claim::settings::ClaimSettings;
use clementinepond_types::{Epoch, LocalTime, ObjectVersion, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// Inputs of a step on an owned shard, and the effects that it emits.
pub(crate) struct OwnerContext<'a> {
    pub(crate) settings: &'a ClaimSettings,
    pub(crate) vm: &'a VmId,
    pub(crate) incarnation: VmIncarnation,
    /// Number of the last write of a shard object by this process.
    pub(crate) writes: &'a mut u64,
    pub(crate) epoch: Epoch,
    /// Other VMs of the data centre, ranked for the shard.
    pub(crate) local_peers: Vec<VmId>,
    /// VMs of the other data centres.
    pub(crate) remote_peers: Vec<VmId>,
    pub(crate) now: LocalTime,
    pub(crate) effects: Vec<ClaimEffect>,
}

impl OwnerContext<'_> {
    /// Returns a new write number.
    pub(crate) fn next_write(&mut self) -> u64 {
        *self.writes += 1;
        *self.writes
    }

    /// Returns whether this process wrote the object.
    pub(crate) fn is_own(&self, object: &ShardObject) -> bool {
        object.holder == *self.vm && object.incarnation == self.incarnation
    }
}

/// Stage in which the object is read, or the read is to be repeated.
#[derive(Debug, Clone)]
pub(crate) struct Reading {
    /// When the last read started, or failed.
    pub(crate) read_at: LocalTime,
    /// When to read again; `NEVER` while a read is outstanding.
    pub(crate) retry_at: LocalTime,
}

/// Progress of collecting the records of one witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WitnessProgress {
    /// The batch after this key is outstanding; `None` for the first batch.
    Waiting(Option<ClaimKey>),
    /// All records were received.
    Complete,
    /// The process is gone, and its records with it.
    Lost,
}

/// Stage in which the records of the former term are collected from its witnesses.
#[derive(Debug, Clone)]
pub(crate) struct Collecting {
    /// Term that the takeover will write.
    pub(crate) term: u64,
    /// Version of the object that was read; `None` if it is missing.
    pub(crate) version: Option<ObjectVersion>,
    /// When the read of the object started.
    pub(crate) read_at: LocalTime,
    /// Object of the former term.
    pub(crate) former: Option<ShardObject>,
    pub(crate) witnesses: BTreeMap<ShardWitness, WitnessProgress>,
    /// Most final of the collected copies of each claim.
    pub(crate) copies: BTreeMap<ClaimKey, CopyRecord>,
    /// VMs that accepted to be replicas in the new term.
    pub(crate) enlisted: BTreeMap<VmId, VmIncarnation>,
    /// When the collection started.
    pub(crate) started_at: LocalTime,
    pub(crate) next_send: LocalTime,
}

/// State of a claim in an [`ActiveRecord`].
#[derive(Debug, Clone)]
pub(crate) enum ActiveState {
    /// Granted, or granted as soon as it is durable.
    Running {
        holder: RunHolder,
        expiry: LocalTime,
    },
    /// Ran and was answered; `None` if the answer is not kept.
    Answered(Option<RecordedAnswer>),
    /// May have run.
    Unknown,
}

/// Claim that is running, not yet stored in the platform, or kept with its answer.
#[derive(Debug, Clone)]
pub(crate) struct ActiveRecord {
    pub(crate) fingerprint: BodyFingerprint,
    pub(crate) dated: bool,
    /// Sequence number of the last change within the term.
    pub(crate) sequence: u64,
    pub(crate) changed_at: LocalTime,
    pub(crate) state: ActiveState,
    /// Whether the last change is stored or acknowledged by every replica.
    pub(crate) durable: bool,
    /// Replicas that acknowledged the last change.
    pub(crate) copied_to: BTreeSet<VmId>,
    /// Other calls under the key that are sent the outcome.
    pub(crate) waiters: Vec<RunHolder>,
    /// Call whose report is acknowledged once the outcome is durable.
    pub(crate) reporter: Option<RunHolder>,
}

impl ActiveRecord {
    /// Returns the copy of the claim that is sent to replicas.
    pub(crate) fn to_copy(&self, key: ClaimKey, now: LocalTime) -> CopyRecord {
        let state = match &self.state {
            ActiveState::Running { holder, expiry } => CopyState::Running {
                holder: holder.clone(),
                time_left: now.until(*expiry),
            },
            ActiveState::Answered(answer) => CopyState::Answered(answer.clone()),
            ActiveState::Unknown => CopyState::Unknown,
        };
        CopyRecord {
            key,
            fingerprint: self.fingerprint,
            dated: self.dated,
            sequence: self.sequence,
            state,
        }
    }
}

/// Ended claim in its compact form, without an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SettledRecord {
    pub(crate) fingerprint: BodyFingerprint,
    pub(crate) dated: bool,
    pub(crate) answered: bool,
    pub(crate) expires_at: LocalTime,
}

/// Replica that the stored object names as a witness.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaSlot {
    pub(crate) vm: VmId,
    pub(crate) incarnation: VmIncarnation,
    /// When the first copy since the last acknowledgement was sent; `None` if none is
    /// outstanding.
    pub(crate) unacknowledged_since: Option<LocalTime>,
}

/// Conditional update of the object whose outcome is not known yet.
#[derive(Debug, Clone)]
pub(crate) struct Commit {
    pub(crate) write: u64,
    /// Sequence number of the last change that the write contains.
    pub(crate) covered_sequence: u64,
    /// Replicas that the write names as witnesses.
    pub(crate) replicas: Vec<ReplicaSlot>,
    /// When to read the object after a write with unknown outcome; `None` while a write
    /// or read is outstanding.
    pub(crate) reread_at: Option<LocalTime>,
}

/// Period after a loss of records in which keys are refused unless they were provably
/// created after its start.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Quarantine {
    pub(crate) since: LocalTime,
    pub(crate) until: LocalTime,
}

/// Stage in which this VM owns the shard and grants its claims.
#[derive(Debug, Clone)]
pub(crate) struct Holding {
    pub(crate) term: u64,
    /// Last known version of the stored object; `None` before the first one.
    pub(crate) version: Option<ObjectVersion>,
    /// Whether the stored object is known to name this VM as the owner.
    pub(crate) activated: bool,
    /// Replicas named by the last object known to be stored.
    pub(crate) replicas: Vec<ReplicaSlot>,
    /// VMs that accepted to be replicas in this term.
    pub(crate) enlisted: BTreeMap<VmId, VmIncarnation>,
    /// Whether the stored object is known to name the replicas as witnesses, so that
    /// their acknowledgements make claims durable.
    pub(crate) witnesses_confirmed: bool,
    /// Claims that are running, not yet stored, or kept with their answers.
    pub(crate) active: BTreeMap<ClaimKey, ActiveRecord>,
    /// Keys of active claims whose last change is not durable.
    pub(crate) pending: BTreeSet<ClaimKey>,
    /// Keys of claims with a kept answer, by sequence number.
    pub(crate) answers: BTreeMap<u64, ClaimKey>,
    /// Total size of the kept answers.
    pub(crate) answer_bytes: usize,
    /// Ended claims in compact form.
    pub(crate) settled: BTreeMap<ClaimKey, SettledRecord>,
    /// Sequence number of the last change in this term.
    pub(crate) sequence: u64,
    /// Sequence number up to which all changes are stored in the platform.
    pub(crate) flushed: u64,
    /// Time of the first change since the last write; `None` without one.
    pub(crate) dirty_since: Option<LocalTime>,
    pub(crate) last_write_at: LocalTime,
    pub(crate) commit: Option<Commit>,
    pub(crate) quarantine: Option<Quarantine>,
    pub(crate) next_sweep: LocalTime,
    pub(crate) next_resend: LocalTime,
    /// Whether the shard is being released: it takes no new claims.
    pub(crate) closing: bool,
}

impl Holding {
    /// Returns an upper bound of the size of the shard's object, in bytes.
    pub(crate) fn object_size(&self) -> usize {
        let answered = self.answers.len().min(self.active.len());
        let records = (self.settled.len() + answered) * RECORD_WIDTH;
        OBJECT_OVERHEAD + records + (self.active.len() - answered) * RUNNING_RECORD_MAX_SIZE
    }

    /// Counts the answer of a record, if it has one, against the budget.
    pub(crate) fn keep_answer(&mut self, key: ClaimKey, record: &ActiveRecord) {
        if let ActiveState::Answered(Some(answer)) = &record.state {
            self.answers.insert(record.sequence, key);
            self.answer_bytes += answer.size();
        }
    }

    /// Stops counting the answer of a record.
    pub(crate) fn drop_answer(&mut self, record: &ActiveRecord) {
        if let ActiveState::Answered(Some(answer)) = &record.state
            && self.answers.remove(&record.sequence).is_some()
        {
            self.answer_bytes = self.answer_bytes.saturating_sub(answer.size());
        }
    }

    /// Returns the sequence number of a new change and marks the object as outdated.
    pub(crate) fn next_sequence(&mut self, now: LocalTime) -> u64 {
        self.sequence += 1;
        self.dirty_since.get_or_insert(now);
        self.sequence
    }
}

/// Takeover or ownership of a shard by this VM, in stage `S` of its life cycle.
#[derive(Debug, Clone)]
pub(crate) struct ShardTenure<S> {
    pub(crate) shard: ShardNumber,
    pub(crate) stage: S,
}

impl<S> ShardTenure<S> {
    /// Moves the shard to another stage.
    pub(crate) fn enter<T>(self, stage: T) -> ShardTenure<T> {
        ShardTenure {
            shard: self.shard,
            stage,
        }
    }
}

/// Shard that this VM owns or takes over, in any stage of its life cycle.
#[derive(Debug, Clone)]
pub(crate) enum ShardEntry {
    Reading(ShardTenure<Reading>),
    Collecting(Box<ShardTenure<Collecting>>),
    Holding(Box<ShardTenure<Holding>>),
}

impl ShardEntry {
    /// Returns the term that this VM writes as the owner; zero before the object is read.
    pub(crate) fn term(&self) -> u64 {
        match self {
            Self::Reading(_) => 0,
            Self::Collecting(tenure) => tenure.stage.term,
            Self::Holding(tenure) => tenure.stage.term,
        }
    }
}
