//! The life cycle of a shard at its owner.

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

/// What every step of an owner needs besides the shard itself.
pub(crate) struct OwnerContext<'a> {
    pub(crate) settings: &'a ClaimSettings,
    pub(crate) vm: &'a VmId,
    pub(crate) incarnation: VmIncarnation,
    pub(crate) writes: &'a mut u64,
    pub(crate) epoch: Epoch,
    /// Other VMs of the data centre, in the shard's order.
    pub(crate) local_peers: Vec<VmId>,
    /// VMs of the other data centres.
    pub(crate) remote_peers: Vec<VmId>,
    pub(crate) now: LocalTime,
    pub(crate) effects: Vec<ClaimEffect>,
}

impl OwnerContext<'_> {
    pub(crate) fn next_write(&mut self) -> u64 {
        *self.writes += 1;
        *self.writes
    }

    pub(crate) fn is_own(&self, object: &ShardObject) -> bool {
        object.holder == *self.vm && object.incarnation == self.incarnation
    }
}

/// The object is being read.
#[derive(Debug, Clone)]
pub(crate) struct Reading {
    pub(crate) read_at: LocalTime,
    pub(crate) retry_at: LocalTime,
}

/// Progress of collecting from one witness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WitnessProgress {
    /// Nothing was heard yet, or more is to come after the key.
    Waiting(Option<ClaimKey>),
    /// Every record is here.
    Complete,
    /// The process is gone.
    Lost,
}

/// The witnesses of the former term are being asked.
#[derive(Debug, Clone)]
pub(crate) struct Collecting {
    pub(crate) term: u64,
    pub(crate) version: Option<ObjectVersion>,
    pub(crate) read_at: LocalTime,
    pub(crate) former: Option<ShardObject>,
    pub(crate) witnesses: BTreeMap<ShardWitness, WitnessProgress>,
    pub(crate) copies: BTreeMap<ClaimKey, CopyRecord>,
    pub(crate) enlisted: BTreeMap<VmId, VmIncarnation>,
    pub(crate) started_at: LocalTime,
    pub(crate) next_send: LocalTime,
}

/// State of a claim that the owner still works on.
#[derive(Debug, Clone)]
pub(crate) enum ActiveState {
    /// Granted, or waiting to be durable.
    Running {
        holder: RunHolder,
        expiry: LocalTime,
    },
    /// Ran, and was answered.
    Answered(Option<RecordedAnswer>),
    /// May have run.
    Unknown,
}

/// Claim that is running, not yet stored, or kept with its answer.
#[derive(Debug, Clone)]
pub(crate) struct ActiveRecord {
    pub(crate) fingerprint: BodyFingerprint,
    pub(crate) dated: bool,
    pub(crate) sequence: u64,
    pub(crate) changed_at: LocalTime,
    pub(crate) state: ActiveState,
    pub(crate) durable: bool,
    pub(crate) copied_to: BTreeSet<VmId>,
    pub(crate) waiters: Vec<RunHolder>,
    pub(crate) reporter: Option<RunHolder>,
}

impl ActiveRecord {
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

/// Ended claim whose record is on the platform.
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
    /// Moment of the oldest copy that is not acknowledged.
    pub(crate) unacknowledged_since: Option<LocalTime>,
}

/// Conditional update on its way.
#[derive(Debug, Clone)]
pub(crate) struct Commit {
    pub(crate) write: u64,
    pub(crate) covered_sequence: u64,
    pub(crate) replicas: Vec<ReplicaSlot>,
    /// Moment from which an unanswered write is read again.
    pub(crate) reread_at: Option<LocalTime>,
}

/// Time in which keys of unknown age are refused.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Quarantine {
    pub(crate) since: LocalTime,
    pub(crate) until: LocalTime,
}

/// The shard is owned, and its claims are granted.
#[derive(Debug, Clone)]
pub(crate) struct Holding {
    pub(crate) term: u64,
    pub(crate) version: Option<ObjectVersion>,
    /// Whether the stored object certainly names this VM as the owner.
    pub(crate) activated: bool,
    pub(crate) replicas: Vec<ReplicaSlot>,
    pub(crate) enlisted: BTreeMap<VmId, VmIncarnation>,
    /// Whether the stored object certainly names the replicas as witnesses.
    pub(crate) witnesses_confirmed: bool,
    pub(crate) active: BTreeMap<ClaimKey, ActiveRecord>,
    pub(crate) pending: BTreeSet<ClaimKey>,
    pub(crate) answers: BTreeMap<u64, ClaimKey>,
    pub(crate) answer_bytes: usize,
    pub(crate) settled: BTreeMap<ClaimKey, SettledRecord>,
    pub(crate) sequence: u64,
    pub(crate) flushed: u64,
    pub(crate) dirty_since: Option<LocalTime>,
    pub(crate) last_write_at: LocalTime,
    pub(crate) commit: Option<Commit>,
    pub(crate) quarantine: Option<Quarantine>,
    pub(crate) next_sweep: LocalTime,
    pub(crate) next_resend: LocalTime,
    pub(crate) closing: bool,
}

impl Holding {
    /// Returns an upper bound of the object's size, in bytes.
    pub(crate) fn object_size(&self) -> usize {
        let answered = self.answers.len().min(self.active.len());
        let records = (self.settled.len() + answered) * RECORD_WIDTH;
        OBJECT_OVERHEAD + records + (self.active.len() - answered) * RUNNING_RECORD_MAX_SIZE
    }

    /// Counts a kept answer against the budget.
    pub(crate) fn keep_answer(&mut self, key: ClaimKey, record: &ActiveRecord) {
        if let ActiveState::Answered(Some(answer)) = &record.state {
            self.answers.insert(record.sequence, key);
            self.answer_bytes += answer.size();
        }
    }

    /// Stops counting an answer.
    pub(crate) fn drop_answer(&mut self, record: &ActiveRecord) {
        if let ActiveState::Answered(Some(answer)) = &record.state
            && self.answers.remove(&record.sequence).is_some()
        {
            self.answer_bytes = self.answer_bytes.saturating_sub(answer.size());
        }
    }

    /// Numbers a change and marks the object as behind.
    pub(crate) fn next_sequence(&mut self, now: LocalTime) -> u64 {
        self.sequence += 1;
        self.dirty_since.get_or_insert(now);
        self.sequence
    }
}

/// One shard in a stage of its life cycle.
#[derive(Debug, Clone)]
pub(crate) struct ShardTenure<S> {
    pub(crate) shard: ShardNumber,
    pub(crate) stage: S,
}

impl<S> ShardTenure<S> {
    pub(crate) fn enter<T>(self, stage: T) -> ShardTenure<T> {
        ShardTenure {
            shard: self.shard,
            stage,
        }
    }
}

/// One shard in any stage.
#[derive(Debug, Clone)]
pub(crate) enum ShardEntry {
    Reading(ShardTenure<Reading>),
    Collecting(Box<ShardTenure<Collecting>>),
    Holding(Box<ShardTenure<Holding>>),
}

impl ShardEntry {
    /// Returns the term that the owner wrote, or zero.
    pub(crate) fn term(&self) -> u64 {
        match self {
            Self::Reading(_) => 0,
            Self::Collecting(tenure) => tenure.stage.term,
            Self::Holding(tenure) => tenure.stage.term,
        }
    }
}
