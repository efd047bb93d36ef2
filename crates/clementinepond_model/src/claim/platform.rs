//! Steps of the platform and of the writes of an owner.

use super::mutation::ClaimMutation;
use super::replica::send_copy;
use super::state::{
    ClaimRecord, ClaimState, HeldShard, InFlightWrite, OwnerStage, PendingCommit, ShardObject,
    ShardWitnesses,
};
use super::step::{ClaimModel, ClaimStep, NextStates, epoch_of};

impl ClaimModel {
    pub(super) fn platform_steps(&self, state: &ClaimState, next: &mut NextStates) {
        let any_version = self.mutation == ClaimMutation::IgnoreVersion;
        for write in &state.writes {
            if write.if_version != state.version && !any_version {
                continue;
            }
            let mut after = state.clone();
            after.writes.remove(write);
            after.version += 1;
            after.object = write.object;
            after.answers.insert(write.object.nonce);
            let version = after.version;
            // A conditional write on an older version can no longer take effect.
            after
                .writes
                .retain(|write| any_version || write.if_version >= version);
            next.push((ClaimStep::ApplyWrite(write.owner), after));
        }
    }

    pub(super) fn commit_steps(
        &self,
        state: &ClaimState,
        vm: usize,
        shard: HeldShard,
        next: &mut NextStates,
    ) {
        let Some(commit) = shard.commit else {
            return self.write_steps(state, vm, shard, next);
        };
        let trusted = self.mutation == ClaimMutation::TrustUnknownStore;
        if state.answers.contains(&commit.nonce) || trusted {
            next.push((
                ClaimStep::Stored(vm),
                commit_stored(state, vm, shard, commit),
            ));
        }
        if state.version == shard.version && state.remaining.unanswered > 0 {
            let mut after = state.clone();
            after.remaining.unanswered -= 1;
            let shard = HeldShard {
                commit: None,
                dirty: true,
                ..shard
            };
            after.owners[vm].stage = OwnerStage::Holding(shard);
            next.push((ClaimStep::Unanswered(vm), after));
        }
        if state.version > shard.version && state.object.nonce != commit.nonce {
            let mut after = state.clone();
            after.owners[vm].stage = OwnerStage::Idle;
            next.push((ClaimStep::StepDown(vm), after));
        }
    }

    fn write_steps(&self, state: &ClaimState, vm: usize, shard: HeldShard, next: &mut NextStates) {
        if state.remaining.writes == 0 {
            return;
        }
        let present = state.replica.incarnation;
        for replica in [None, Some(present)] {
            let same = replica == shard.replica;
            if same && !shard.dirty {
                continue;
            }
            let mut after = state.clone();
            after.remaining.writes -= 1;
            let nonce = self.bounds.writes - after.remaining.writes;
            after.writes.insert(InFlightWrite {
                owner: vm,
                if_version: shard.version,
                object: shard_object(state, vm, shard, replica, nonce),
            });
            let early = self.mutation == ClaimMutation::CopyBeforeWitness && replica.is_some();
            let counts = same || early;
            let writing = HeldShard {
                // Until the outcome of the write is known, the object may name either
                // set of witnesses, so copies count only if both name the replica.
                replica: replica.filter(|_| counts),
                dirty: false,
                commit: Some(PendingCommit {
                    nonce,
                    covered_sequence: shard.sequence,
                    replica,
                }),
                ..shard
            };
            after.owners[vm].stage = OwnerStage::Holding(writing);
            send_copy(&mut after, vm);
            let step = ClaimStep::Write(vm, shard.record, replica.is_some());
            next.push((step, after));
        }
    }
}

fn shard_object(
    state: &ClaimState,
    vm: usize,
    shard: HeldShard,
    replica: Option<u8>,
    nonce: u8,
) -> ShardObject {
    ShardObject {
        term: shard.term,
        epoch: epoch_of(vm),
        nonce,
        witnesses: replica.map(|replica_incarnation| ShardWitnesses {
            owner: vm,
            owner_incarnation: state.owners[vm].incarnation,
            replica_incarnation,
        }),
        record: shard.record,
    }
}

fn commit_stored(
    state: &ClaimState,
    vm: usize,
    shard: HeldShard,
    commit: PendingCommit,
) -> ClaimState {
    let mut after = state.clone();
    let covered = commit.covered_sequence == shard.sequence;
    let shard = HeldShard {
        version: shard.version + 1,
        activated: true,
        replica: commit.replica,
        commit: None,
        dirty: shard.dirty || !covered,
        ..shard
    };
    after.owners[vm].stage = OwnerStage::Holding(shard);
    if covered {
        mark_durable(&mut after, vm);
    } else {
        send_copy(&mut after, vm);
    }
    after
}

/// Marks the record of an owner as durable, and grants its claim if a call holds it.
pub(super) fn mark_durable(state: &mut ClaimState, vm: usize) {
    let OwnerStage::Holding(shard) = &mut state.owners[vm].stage else {
        return;
    };
    shard.durable = true;
    if let ClaimRecord::Held(call) = shard.record {
        state.calls[usize::from(call)].granted = true;
    }
}
