//! Steps of the claim specification.

use super::mutation::ClaimMutation;
use super::state::{
    CallNumber, ClaimBounds, ClaimRecord, ClaimStart, ClaimState, OwnerStage, OwnerState,
    ReplicaState,
};
use crate::explore::Specification;
use derive_more::Display;

/// What may happen.
#[derive(Debug, Display)]
pub(super) enum ClaimStep {
    #[display("the roster makes vm-1 the owner")]
    ChangeOwner,
    #[display("vm-{_0} reads the shard's object")]
    Read(usize),
    #[display("vm-{_0} collects from the replica: {_1}")]
    CollectReplica(usize, ClaimRecord),
    #[display("vm-{_0} collects from the former owner: {_1}")]
    CollectOwner(usize, ClaimRecord),
    #[display("vm-{_0} hears that a witness has restarted")]
    Forgotten(usize),
    #[display("vm-{_0} takes the shard over: {_1}")]
    TakeOver(usize, ClaimRecord),
    #[display("vm-{_0} sends a write, {_1}, {}", if *_2 { "naming the replica" } else { "naming no replica" })]
    Write(usize, ClaimRecord, bool),
    #[display("a write of vm-{_0} takes effect on the platform")]
    Land(usize),
    #[display("vm-{_0} learns that its write took effect")]
    Stored(usize),
    #[display("vm-{_0} has no answer to its write and reads the object unchanged")]
    Unanswered(usize),
    #[display("vm-{_0} learns that it is no longer the owner")]
    Depose(usize),
    #[display("vm-{_0} takes the claim of call {_1}")]
    Ask(usize, CallNumber),
    #[display("the replica stores a copy of term {_0} and acknowledges it: {_1}")]
    Store(u8, ClaimRecord),
    #[display("vm-{_0} receives the acknowledgement")]
    Acknowledge(usize),
    #[display("vm-{_0} hears that call {_1} ran nothing")]
    Release(usize, CallNumber),
    #[display("vm-{_0} waits no longer for the report of a run")]
    Lose(usize),
    #[display("call {_0} receives its grant and runs")]
    Run(CallNumber),
    #[display("call {_0} is told that nothing ran")]
    Close(CallNumber),
    #[display("vm-{_0} crashes and is replaced")]
    CrashOwner(usize),
    #[display("the replica crashes and is replaced")]
    CrashReplica,
}

/// The specification within bounds.
#[derive(Debug)]
pub(super) struct ClaimModel {
    pub(super) bounds: ClaimBounds,
    pub(super) mutation: ClaimMutation,
}

pub(super) type NextStates = Vec<(ClaimStep, ClaimState)>;

impl Specification for ClaimModel {
    type State = ClaimState;
    type Step = ClaimStep;

    fn start(&self) -> ClaimState {
        match self.bounds.start {
            ClaimStart::Witnessed => self.owned(true),
            ClaimStart::Unwitnessed => self.owned(false),
            ClaimStart::Reclaimed => self.reclaimed(),
        }
    }

    fn steps(&self, state: &ClaimState) -> NextStates {
        let mut next = Vec::new();
        if state.left.changes > 0 && state.epoch == 1 {
            let mut after = state.clone();
            after.left.changes -= 1;
            after.epoch = 2;
            next.push((ClaimStep::ChangeOwner, after));
        }
        for vm in 0..state.owners.len() {
            match state.owners[vm].stage {
                OwnerStage::Idle => read_step(state, vm, &mut next),
                OwnerStage::Collecting(shard) => self.collect_steps(state, vm, shard, &mut next),
                OwnerStage::Holding(shard) => {
                    self.commit_steps(state, vm, shard, &mut next);
                    self.claim_steps(state, vm, shard, &mut next);
                    self.acknowledge_steps(state, vm, shard, &mut next);
                }
            }
        }
        self.platform_steps(state, &mut next);
        self.replica_steps(state, &mut next);
        self.call_steps(state, &mut next);
        crash_steps(state, &mut next);
        let acknowledges_old = self.mutation == ClaimMutation::AcknowledgeOldTerm;
        for (_, after) in &mut next {
            after.forget_spent(acknowledges_old);
        }
        next
    }

    fn breach(&self, state: &ClaimState) -> Option<&'static str> {
        super::invariant::breach(state)
    }
}

/// Roster generation under which a VM is the owner.
pub(super) fn epoch_of(vm: usize) -> u8 {
    if vm == 0 { 1 } else { 2 }
}

fn read_step(state: &ClaimState, vm: usize, next: &mut NextStates) {
    let epoch = epoch_of(vm);
    if state.epoch < epoch || state.object.epoch > epoch || state.left.writes == 0 {
        return;
    }
    let mut after = state.clone();
    after.owners[vm].stage = super::takeover::begin(state);
    next.push((ClaimStep::Read(vm), after));
}

fn crash_steps(state: &ClaimState, next: &mut NextStates) {
    if state.left.crashes == 0 {
        return;
    }
    for vm in 0..state.owners.len() {
        if state.owners[vm].stage != OwnerStage::Idle {
            let mut after = state.clone();
            after.left.crashes -= 1;
            after.owners[vm] = OwnerState {
                incarnation: state.owners[vm].incarnation + 1,
                stage: OwnerStage::Idle,
            };
            next.push((ClaimStep::CrashOwner(vm), after));
        }
    }
    let mut after = state.clone();
    after.left.crashes -= 1;
    after.replica = ReplicaState {
        incarnation: state.replica.incarnation + 1,
        ..ReplicaState::default()
    };
    next.push((ClaimStep::CrashReplica, after));
}
