//! Steps of a takeover by a new owner.

use super::mutation::ClaimMutation;
use super::state::{
    ClaimRecord, ClaimState, CollectingShard, HeldShard, OwnerStage, ShardWitnesses,
};
use super::step::{ClaimModel, ClaimStep, NextStates};

/// Returns the stage after the read of the current object.
pub(super) fn begin(state: &ClaimState) -> OwnerStage {
    OwnerStage::Collecting(CollectingShard {
        version: state.version,
        former: state.object,
        copy: ClaimRecord::Free,
        complete: false,
        owner_lost: false,
        replica_lost: false,
    })
}

impl ClaimModel {
    pub(super) fn collect_steps(
        &self,
        state: &ClaimState,
        vm: usize,
        shard: CollectingShard,
        next: &mut NextStates,
    ) {
        if let Some(witnesses) = shard.former.witnesses
            && !shard.complete
        {
            collect_replica(state, vm, shard, witnesses, next);
            collect_owner(state, vm, shard, witnesses, next);
        }
        let all_lost = shard.owner_lost && shard.replica_lost;
        let collected = shard.former.witnesses.is_none()
            || shard.complete
            || all_lost
            || self.mutation == ClaimMutation::SkipCollect;
        if collected {
            let record = self.assemble(shard, all_lost);
            let mut after = state.clone();
            after.owners[vm].stage = OwnerStage::Holding(HeldShard {
                term: shard.former.term + 1,
                version: shard.version,
                record,
                sequence: 1,
                durable: false,
                dirty: true,
                activated: false,
                replica: None,
                commit: None,
            });
            next.push((ClaimStep::TakeOver(vm, record), after));
        }
    }

    /// Returns the record that follows from the object and the collected copy.
    fn assemble(&self, shard: CollectingShard, all_lost: bool) -> ClaimRecord {
        use ClaimRecord::{Ended, Free, Held};
        let stored = shard.former.record;
        if all_lost && self.mutation != ClaimMutation::SkipQuarantine {
            // The lost records may have contained a grant, so the key is refused.
            return Ended;
        }
        match (stored, shard.copy) {
            (Ended, _) | (_, Ended) => Ended,
            (Held(stored), Held(copied)) if stored != copied => {
                if self.mutation == ClaimMutation::AdoptCopyHolder {
                    Held(copied)
                } else {
                    Ended
                }
            }
            (Held(call), _) | (Free, Held(call)) => Held(call),
            (Free, Free) => Free,
        }
    }
}

fn collect_replica(
    state: &ClaimState,
    vm: usize,
    mut shard: CollectingShard,
    witnesses: ShardWitnesses,
    next: &mut NextStates,
) {
    let mut after = state.clone();
    if state.replica.incarnation != witnesses.replica_incarnation {
        if shard.replica_lost {
            return;
        }
        shard.replica_lost = true;
        after.owners[vm].stage = OwnerStage::Collecting(shard);
        next.push((ClaimStep::Lost(vm), after));
        return;
    }
    after.replica.promised = after.replica.promised.max(shard.former.term + 1);
    shard.complete = true;
    if state.replica.term == shard.former.term {
        shard.copy = state.replica.record;
    }
    after.owners[vm].stage = OwnerStage::Collecting(shard);
    next.push((ClaimStep::CollectReplica(vm, shard.copy), after));
}

fn collect_owner(
    state: &ClaimState,
    vm: usize,
    mut shard: CollectingShard,
    witnesses: ShardWitnesses,
    next: &mut NextStates,
) {
    let former = state.owners[witnesses.owner];
    let mut after = state.clone();
    if former.incarnation != witnesses.owner_incarnation {
        if shard.owner_lost {
            return;
        }
        shard.owner_lost = true;
        after.owners[vm].stage = OwnerStage::Collecting(shard);
        next.push((ClaimStep::Lost(vm), after));
        return;
    }
    let OwnerStage::Holding(held) = former.stage else {
        return;
    };
    if held.term > shard.former.term {
        return;
    }
    // The former owner stops granting when it returns its records.
    after.owners[witnesses.owner].stage = OwnerStage::Idle;
    shard.complete = true;
    shard.copy = held.record;
    after.owners[vm].stage = OwnerStage::Collecting(shard);
    next.push((ClaimStep::CollectOwner(vm, shard.copy), after));
}
