//! Steps of an owner that request, release and free claims.

use super::mutation::ClaimMutation;
use super::platform::mark_durable;
use super::replica::send_copy;
use super::state::{ClaimRecord, ClaimState, HeldShard, OwnerStage};
use super::step::{ClaimModel, ClaimStep, NextStates};

impl ClaimModel {
    pub(super) fn claim_steps(
        &self,
        state: &ClaimState,
        vm: usize,
        shard: HeldShard,
        next: &mut NextStates,
    ) {
        let requested = self.bounds.calls - state.remaining.requests;
        for call in 0..self.bounds.calls {
            let is_held = match shard.record {
                // Calls are interchangeable, so it suffices that they request in order.
                ClaimRecord::Free if state.remaining.requests == 0 || call > requested => continue,
                ClaimRecord::Free => {
                    let mut after = change_record(state, vm, shard, ClaimRecord::Held(call));
                    after.remaining.requests -= 1;
                    if self.mutation == ClaimMutation::GrantBeforeDurable {
                        mark_durable(&mut after, vm);
                    }
                    next.push((ClaimStep::Request(vm, call), after));
                    continue;
                }
                ClaimRecord::Held(holder) => {
                    holder == call || self.mutation == ClaimMutation::ReleaseAnyHolder
                }
                ClaimRecord::Ended => false,
            };
            if is_held && state.calls[usize::from(call)].closed {
                let after = change_record(state, vm, shard, ClaimRecord::Free);
                next.push((ClaimStep::Release(vm, call), after));
            }
        }
        // The protocol ends a claim without a report, which only refuses more calls.
        // Only the mutation is therefore explored.
        let forgets = self.mutation == ClaimMutation::ForgetUnreportedRun;
        if forgets && matches!(shard.record, ClaimRecord::Held(_)) {
            let after = change_record(state, vm, shard, ClaimRecord::Free);
            next.push((ClaimStep::FreeUnreported(vm), after));
        }
    }
}

fn change_record(
    state: &ClaimState,
    vm: usize,
    shard: HeldShard,
    record: ClaimRecord,
) -> ClaimState {
    let mut after = state.clone();
    after.owners[vm].stage = OwnerStage::Holding(HeldShard {
        record,
        sequence: shard.sequence + 1,
        durable: false,
        dirty: true,
        ..shard
    });
    send_copy(&mut after, vm);
    after
}
