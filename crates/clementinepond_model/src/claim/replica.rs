//! Steps of copies to the replica and of their acknowledgements.

use super::mutation::ClaimMutation;
use super::platform::mark_durable;
use super::state::{ClaimCopy, ClaimRecord, ClaimState, HeldShard, OwnerStage, ReplicaState};
use super::step::{ClaimModel, ClaimStep, NextStates};

impl ClaimModel {
    pub(super) fn acknowledge_steps(
        &self,
        state: &ClaimState,
        vm: usize,
        shard: HeldShard,
        next: &mut NextStates,
    ) {
        let Some(incarnation) = shard.replica.filter(|_| shard.activated) else {
            return;
        };
        let acknowledgement = (shard.term, shard.sequence, incarnation);
        if !shard.durable && state.acknowledged.contains(&acknowledgement) {
            let mut after = state.clone();
            mark_durable(&mut after, vm);
            next.push((ClaimStep::Acknowledge(vm), after));
        }
    }

    pub(super) fn replica_steps(&self, state: &ClaimState, next: &mut NextStates) {
        for copy in &state.copies {
            let promised = state.replica.promised.max(state.replica.term);
            let is_old = copy.term < promised;
            let refused = is_old && self.mutation != ClaimMutation::AcknowledgeOldTerm;
            if refused || copy.incarnation != state.replica.incarnation {
                continue;
            }
            let mut after = state.clone();
            // A second delivery would change nothing.
            after.copies.remove(copy);
            store_copy(&mut after.replica, copy);
            let acknowledgement = (copy.term, copy.sequence, copy.incarnation);
            after.acknowledged.insert(acknowledgement);
            next.push((ClaimStep::Store(copy.term, copy.record), after));
        }
    }
}

/// Sends a copy of the record if a replica is known to be stored as a witness.
///
/// A release is not copied, so a later owner treats the call as running.
pub(super) fn send_copy(state: &mut ClaimState, vm: usize) {
    let OwnerStage::Holding(shard) = state.owners[vm].stage else {
        return;
    };
    if shard.record == ClaimRecord::Free || !shard.activated {
        return;
    }
    if let Some(incarnation) = shard.replica {
        state.copies.insert(ClaimCopy {
            term: shard.term,
            sequence: shard.sequence,
            incarnation,
            record: shard.record,
        });
    }
}

fn store_copy(replica: &mut ReplicaState, copy: &ClaimCopy) {
    if copy.term > replica.term {
        replica.term = copy.term;
        replica.sequence = 0;
        replica.record = ClaimRecord::Free;
    }
    if copy.term == replica.term && copy.sequence > replica.sequence {
        replica.sequence = copy.sequence;
        replica.record = copy.record;
    }
}
