//! State of the claim specification.

use super::mutation::ClaimMutation;
use crate::explore::Bounds;
use derive_more::Display;
use std::collections::BTreeSet;

/// State from which an exploration starts; all are reachable by the protocol.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum ClaimStart {
    #[display("vm-0 owns the shard, with a replica")]
    Witnessed,
    #[display("vm-0 owns the shard, without a replica")]
    Unwitnessed,
    #[display("the replica has a copy of call 0, which did not run, and the object names call 1")]
    Regranted,
}

/// Bounds of one exploration: sizes, and how often each kind of step may happen.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
#[display(
    "from when {start}: 2 owners, 1 replica, {calls} calls, {requests} claims, {changes} owner changes, {writes} writes, \
     {unanswered} unanswered, {crashes} crashes"
)]
pub(super) struct ClaimBounds {
    pub(super) start: ClaimStart,
    pub(super) calls: u8,
    /// Claims requested, including repeated ones of the same call.
    pub(super) requests: u8,
    /// Owner changes.
    pub(super) changes: u8,
    pub(super) writes: u8,
    /// Writes whose answer is lost.
    pub(super) unanswered: u8,
    pub(super) crashes: u8,
}

/// Owner change; claims become durable by acknowledgements.
const WITNESSED: ClaimBounds = ClaimBounds {
    start: ClaimStart::Witnessed,
    calls: 2,
    requests: 2,
    changes: 1,
    writes: 1,
    unanswered: 0,
    crashes: 0,
};

/// Owner change; claims become durable by writes, and the replica is named later.
const UNWITNESSED: ClaimBounds = ClaimBounds {
    start: ClaimStart::Unwitnessed,
    writes: 2,
    unanswered: 1,
    ..WITNESSED
};

/// Both witnesses crash before the owner change.
const CRASHES: ClaimBounds = ClaimBounds {
    crashes: 2,
    ..WITNESSED
};

/// Three calls without an owner change, of which the first releases its claim.
const THREE_CALLS: ClaimBounds = ClaimBounds {
    calls: 3,
    requests: 3,
    changes: 0,
    ..WITNESSED
};

/// Owner change while the replica's copy is older than the object.
const REGRANTED: ClaimBounds = ClaimBounds {
    start: ClaimStart::Regranted,
    calls: 3,
    requests: 1,
    ..WITNESSED
};

/// Returns the bounds to explore in turn; with a mutation, those under which its guard
/// is needed.
pub(super) fn bounds_of(bounds: Bounds, mutation: ClaimMutation) -> Vec<ClaimBounds> {
    let small = match mutation {
        ClaimMutation::None => vec![WITNESSED, UNWITNESSED, CRASHES, THREE_CALLS, REGRANTED],
        ClaimMutation::ReleaseAnyHolder => vec![THREE_CALLS],
        ClaimMutation::AdoptCopyHolder => vec![REGRANTED],
        ClaimMutation::SkipQuarantine => vec![CRASHES],
        ClaimMutation::CopyBeforeWitness
        | ClaimMutation::TrustUnknownStore
        | ClaimMutation::IgnoreVersion => vec![UNWITNESSED],
        _ => vec![WITNESSED],
    };
    match bounds {
        Bounds::Small => small,
        Bounds::Large => small.into_iter().map(enlarged).collect(),
    }
}

fn enlarged(bounds: ClaimBounds) -> ClaimBounds {
    ClaimBounds {
        unanswered: bounds.unanswered + 1,
        ..bounds
    }
}

/// Number of a call, from zero.
pub(super) type CallNumber = u8;

/// Claim state of the key.
#[derive(Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum ClaimRecord {
    /// Nothing runs and nothing ran.
    #[default]
    #[display("free")]
    Free,
    /// A call may run.
    #[display("held by call {_0}")]
    Held(CallNumber),
    /// A call ran or may have run.
    #[display("ended")]
    Ended,
}

/// Processes that may hold claims that the object lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ShardWitnesses {
    /// VM of the owner.
    pub(super) owner: usize,
    pub(super) owner_incarnation: u8,
    pub(super) replica_incarnation: u8,
}

/// Object of the shard on the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ShardObject {
    pub(super) term: u8,
    pub(super) epoch: u8,
    /// Unique number of the write.
    pub(super) nonce: u8,
    pub(super) witnesses: Option<ShardWitnesses>,
    pub(super) record: ClaimRecord,
}

/// Conditional write that may still take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct InFlightWrite {
    pub(super) owner: usize,
    pub(super) if_version: u8,
    pub(super) object: ShardObject,
}

/// Copy of a claim, in flight to the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ClaimCopy {
    pub(super) term: u8,
    pub(super) sequence: u8,
    /// Incarnation of the replica that the copy is sent to.
    pub(super) incarnation: u8,
    pub(super) record: ClaimRecord,
}

/// Write whose outcome is unknown to the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PendingCommit {
    pub(super) nonce: u8,
    /// Sequence number of the last change that the write contains.
    pub(super) covered_sequence: u8,
    /// Incarnation of the replica that the write names as a witness.
    pub(super) replica: Option<u8>,
}

/// Data that a new owner has collected so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct CollectingShard {
    /// Version of the object that was read.
    pub(super) version: u8,
    /// Object that was read.
    pub(super) former: ShardObject,
    /// Record collected from a witness.
    pub(super) copy: ClaimRecord,
    /// Whether the records of one witness were collected.
    pub(super) complete: bool,
    /// Whether the former owner is known to have restarted and lost its records.
    pub(super) owner_lost: bool,
    /// Whether the replica is known to have restarted and lost its records.
    pub(super) replica_lost: bool,
}

/// State of the shard at its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct HeldShard {
    pub(super) term: u8,
    pub(super) version: u8,
    pub(super) record: ClaimRecord,
    pub(super) sequence: u8,
    /// Whether the last change is durable.
    pub(super) durable: bool,
    /// Whether a change is in neither the object nor a pending write.
    pub(super) dirty: bool,
    /// Whether a write of this term is known to be stored.
    pub(super) activated: bool,
    /// Incarnation of the replica whose acknowledgements make claims durable.
    pub(super) replica: Option<u8>,
    /// Write in progress.
    pub(super) commit: Option<PendingCommit>,
}

/// Stage of a VM that may own the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum OwnerStage {
    Idle,
    Collecting(CollectingShard),
    Holding(HeldShard),
}

/// One VM that may own the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct OwnerState {
    pub(super) incarnation: u8,
    pub(super) stage: OwnerStage,
}

/// Process that stores copies of claims.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct ReplicaState {
    pub(super) incarnation: u8,
    /// Term of the stored copy.
    pub(super) term: u8,
    /// Term promised to a new owner; copies of lower terms are refused.
    pub(super) promised: u8,
    pub(super) sequence: u8,
    pub(super) record: ClaimRecord,
}

/// One call that uses the key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct CallState {
    /// Whether the caller was told that nothing ran.
    pub(super) closed: bool,
    pub(super) granted: bool,
    /// Number of times that the call ran.
    pub(super) runs: u8,
}

/// State of the data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ClaimState {
    /// Steps that may still happen.
    pub(super) remaining: ClaimBounds,
    /// Roster epoch, which determines the owner.
    pub(super) epoch: u8,
    /// Version of the object.
    pub(super) version: u8,
    pub(super) object: ShardObject,
    pub(super) writes: BTreeSet<InFlightWrite>,
    /// Nonces of the writes that took effect and whose answers may still arrive.
    pub(super) answers: BTreeSet<u8>,
    pub(super) owners: [OwnerState; 2],
    pub(super) replica: ReplicaState,
    pub(super) copies: BTreeSet<ClaimCopy>,
    /// Acknowledged copies that an owner may wait for: term, sequence, replica incarnation.
    pub(super) acknowledged: BTreeSet<(u8, u8, u8)>,
    pub(super) calls: Vec<CallState>,
}

impl ClaimState {
    /// Drops messages that can no longer have an effect.
    pub(super) fn drop_spent_messages(&mut self, acknowledges_old: bool) {
        let holding = |owner: &OwnerState| match owner.stage {
            OwnerStage::Holding(shard) => Some(shard),
            OwnerStage::Idle | OwnerStage::Collecting(_) => None,
        };
        let shards: Vec<HeldShard> = self.owners.iter().filter_map(holding).collect();
        let waits = |shard: &HeldShard, acknowledgement: &(u8, u8, u8)| {
            !shard.durable && (shard.term, shard.sequence) == (acknowledgement.0, acknowledgement.1)
        };
        self.acknowledged
            .retain(|acknowledgement| shards.iter().any(|shard| waits(shard, acknowledgement)));
        let commits = |shard: &HeldShard| shard.commit.map(|commit| commit.nonce);
        self.answers
            .retain(|nonce| shards.iter().any(|shard| commits(shard) == Some(*nonce)));
        let replica = self.replica;
        self.copies.retain(|copy| {
            let is_refused = copy.term < replica.promised.max(replica.term);
            copy.incarnation == replica.incarnation && (acknowledges_old || !is_refused)
        });
    }
}
