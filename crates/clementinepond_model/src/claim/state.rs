//! State of the claim specification.

use super::mutation::ClaimMutation;
use crate::explore::Bounds;
use derive_more::Display;
use std::collections::BTreeSet;

/// State from which an exploration starts; each is one that owners reach.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum ClaimStart {
    #[display("vm-0 owns the shard, with a replica")]
    Witnessed,
    #[display("vm-0 owns the shard, without a replica")]
    Unwitnessed,
    #[display("the replica has a copy of call 0, which ran nothing, and the object names call 1")]
    Reclaimed,
}

/// Limits of the exploration.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash)]
#[display(
    "from when {start}: 2 owners, 1 replica, {calls} calls, {asks} claims, {changes} owner changes, {writes} writes, \
     {unanswered} unanswered, {crashes} crashes"
)]
pub(super) struct ClaimBounds {
    pub(super) start: ClaimStart,
    pub(super) calls: u8,
    /// Claims that owners take, also repeatedly for one call.
    pub(super) asks: u8,
    pub(super) changes: u8,
    pub(super) writes: u8,
    pub(super) unanswered: u8,
    pub(super) crashes: u8,
}

/// Owner change; grants by acknowledgements.
const WITNESSED: ClaimBounds = ClaimBounds {
    start: ClaimStart::Witnessed,
    calls: 2,
    asks: 2,
    changes: 1,
    writes: 1,
    unanswered: 0,
    crashes: 0,
};

/// Owner change; grants by writes, and a replica that is named late.
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

/// Three calls, of which the first ran nothing.
const THREE_CALLS: ClaimBounds = ClaimBounds {
    calls: 3,
    asks: 3,
    changes: 0,
    ..WITNESSED
};

/// Owner change while the replica's copy is older than the object.
const RECLAIMED: ClaimBounds = ClaimBounds {
    start: ClaimStart::Reclaimed,
    calls: 3,
    asks: 1,
    ..WITNESSED
};

/// Returns the bounds to explore one after the other; with a mutation, those
/// in which its guard matters.
pub(super) fn bounds_of(bounds: Bounds, mutation: ClaimMutation) -> Vec<ClaimBounds> {
    let small = match mutation {
        ClaimMutation::None => vec![WITNESSED, UNWITNESSED, CRASHES, THREE_CALLS, RECLAIMED],
        ClaimMutation::ReleaseAnyHolder => vec![THREE_CALLS],
        ClaimMutation::AdoptCopyHolder => vec![RECLAIMED],
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

/// Number of a call.
pub(super) type CallNumber = u8;

/// What is known of the key.
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

/// Processes that may hold claims which the object lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ShardWitnesses {
    pub(super) owner: usize,
    pub(super) owner_incarnation: u8,
    pub(super) replica_incarnation: u8,
}

/// Object of the shard.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ShardObject {
    pub(super) term: u8,
    pub(super) epoch: u8,
    /// Number that only this write has.
    pub(super) nonce: u8,
    pub(super) witnesses: Option<ShardWitnesses>,
    pub(super) record: ClaimRecord,
}

/// Conditional update on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct FlyingWrite {
    pub(super) owner: usize,
    pub(super) if_version: u8,
    pub(super) object: ShardObject,
}

/// Copy of a claim on its way to the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ClaimCopy {
    pub(super) term: u8,
    pub(super) sequence: u8,
    pub(super) incarnation: u8,
    pub(super) record: ClaimRecord,
}

/// Write whose outcome an owner waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PendingCommit {
    pub(super) nonce: u8,
    pub(super) covers: u8,
    pub(super) replica: Option<u8>,
}

/// What a new owner has collected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct CollectingShard {
    pub(super) version: u8,
    pub(super) former: ShardObject,
    pub(super) copy: ClaimRecord,
    pub(super) complete: bool,
    pub(super) owner_forgot: bool,
    pub(super) replica_forgot: bool,
}

/// Shard in the hands of its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct HeldShard {
    pub(super) term: u8,
    pub(super) version: u8,
    pub(super) record: ClaimRecord,
    pub(super) sequence: u8,
    pub(super) durable: bool,
    /// Whether the object lacks a change.
    pub(super) dirty: bool,
    pub(super) activated: bool,
    /// Replica process whose acknowledgements count.
    pub(super) replica: Option<u8>,
    pub(super) commit: Option<PendingCommit>,
}

/// Stage of one owner.
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

/// The replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct ReplicaState {
    pub(super) incarnation: u8,
    pub(super) term: u8,
    pub(super) promised: u8,
    pub(super) sequence: u8,
    pub(super) record: ClaimRecord,
}

/// One call under the key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub(super) struct CallState {
    /// Whether the caller was told that nothing ran.
    pub(super) closed: bool,
    pub(super) granted: bool,
    pub(super) runs: u8,
}

/// State of the data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ClaimState {
    pub(super) left: ClaimBounds,
    pub(super) epoch: u8,
    pub(super) version: u8,
    pub(super) object: ShardObject,
    pub(super) writes: BTreeSet<FlyingWrite>,
    /// Writes that took effect; the answers may arrive late.
    pub(super) answers: BTreeSet<u8>,
    pub(super) owners: [OwnerState; 2],
    pub(super) replica: ReplicaState,
    pub(super) copies: BTreeSet<ClaimCopy>,
    /// Acknowledged copies that an owner may wait for: term, sequence, incarnation.
    pub(super) acknowledged: BTreeSet<(u8, u8, u8)>,
    pub(super) calls: Vec<CallState>,
}

impl ClaimState {
    /// Drops messages that can have no effect any more.
    pub(super) fn forget_spent(&mut self, acknowledges_old: bool) {
        let holding = |owner: &OwnerState| match owner.stage {
            OwnerStage::Holding(shard) => Some(shard),
            OwnerStage::Idle | OwnerStage::Collecting(_) => None,
        };
        let shards: Vec<HeldShard> = self.owners.iter().filter_map(holding).collect();
        let waits = |shard: &HeldShard, number: &(u8, u8, u8)| {
            !shard.durable && (shard.term, shard.sequence) == (number.0, number.1)
        };
        self.acknowledged
            .retain(|number| shards.iter().any(|shard| waits(shard, number)));
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
