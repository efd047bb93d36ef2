//! What an owner does with claims.

use super::mutation::ClaimMutation;
use super::platform::made_durable;
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
        let asked = self.bounds.calls - state.left.asks;
        for call in 0..self.bounds.calls {
            let is_held = match shard.record {
                // Calls are alike, so that they may ask in their order.
                ClaimRecord::Free if state.left.asks == 0 || call > asked => continue,
                ClaimRecord::Free => {
                    let mut after = change(state, vm, shard, ClaimRecord::Held(call));
                    after.left.asks -= 1;
                    if self.mutation == ClaimMutation::GrantBeforeDurable {
                        made_durable(&mut after, vm);
                    }
                    next.push((ClaimStep::Ask(vm, call), after));
                    continue;
                }
                ClaimRecord::Held(holder) => {
                    holder == call || self.mutation == ClaimMutation::ReleaseAnyHolder
                }
                ClaimRecord::Ended => false,
            };
            if is_held && state.calls[usize::from(call)].closed {
                let after = change(state, vm, shard, ClaimRecord::Free);
                next.push((ClaimStep::Release(vm, call), after));
            }
        }
        // To end a claim without a report only refuses more.
        let forgets = self.mutation == ClaimMutation::ForgetUnreportedRun;
        if forgets && matches!(shard.record, ClaimRecord::Held(_)) {
            let after = change(state, vm, shard, ClaimRecord::Free);
            next.push((ClaimStep::Lose(vm), after));
        }
    }
}

fn change(state: &ClaimState, vm: usize, shard: HeldShard, record: ClaimRecord) -> ClaimState {
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
