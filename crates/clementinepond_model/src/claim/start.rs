//! Initial states of the explorations.

use super::state::{
    CallState, ClaimRecord, ClaimState, HeldShard, OwnerStage, OwnerState, ReplicaState,
    ShardObject, ShardWitnesses,
};
use super::step::ClaimModel;

impl ClaimModel {
    /// Returns the state in which the first VM owns the shard and no claim was requested.
    pub(super) fn owned(&self, witnessed: bool) -> ClaimState {
        let idle = OwnerState {
            incarnation: 0,
            stage: OwnerStage::Idle,
        };
        let object = ShardObject {
            term: 1,
            epoch: 1,
            nonce: 0,
            witnesses: witnessed.then_some(ShardWitnesses {
                owner: 0,
                owner_incarnation: 0,
                replica_incarnation: 0,
            }),
            record: ClaimRecord::Free,
        };
        let shard = HeldShard {
            term: 1,
            version: 1,
            record: ClaimRecord::Free,
            sequence: 1,
            durable: true,
            dirty: false,
            activated: true,
            replica: witnessed.then_some(0),
            commit: None,
        };
        let holding = OwnerState {
            incarnation: 0,
            stage: OwnerStage::Holding(shard),
        };
        ClaimState {
            remaining: self.bounds,
            epoch: 1,
            version: 1,
            object,
            writes: [].into(),
            answers: [].into(),
            owners: [holding, idle],
            replica: ReplicaState::default(),
            copies: [].into(),
            acknowledged: [].into(),
            calls: vec![CallState::default(); self.bounds.calls.into()],
        }
    }

    /// Returns the state in which the replica has an outdated copy.
    ///
    /// The first call was copied to the replica, granted, closed and released. The second
    /// was then granted by a write to the object, without a copy to the replica.
    pub(super) fn regranted(&self) -> ClaimState {
        let mut state = self.owned(true);
        let record = ClaimRecord::Held(1);
        state.replica = ReplicaState {
            incarnation: 0,
            term: 1,
            promised: 1,
            sequence: 2,
            record: ClaimRecord::Held(0),
        };
        state.version = 2;
        state.object.record = record;
        if let OwnerStage::Holding(shard) = &mut state.owners[0].stage {
            shard.version = state.version;
            shard.record = record;
            shard.sequence = 4;
        }
        for call in state.calls.iter_mut().take(2) {
            call.granted = true;
        }
        state.calls[0].closed = true;
        state
    }
}
