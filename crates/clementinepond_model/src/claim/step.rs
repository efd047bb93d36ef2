//! Steps of the claim specification.

use super::mutation::ClaimMutation;
use super::state::{
    CallNumber, ClaimBounds, ClaimRecord, ClaimStart, ClaimState, OwnerStage, OwnerState,
    ReplicaState,
};
use crate::explore::Specification;
use derive_more::Display;

/// Event that may happen next.
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
    #[display("vm-{_0} learns that a witness has restarted and lost its records")]
    Lost(usize),
    #[display("vm-{_0} takes over the shard: {_1}")]
    TakeOver(usize, ClaimRecord),
    #[display("vm-{_0} sends a write, {_1}, {}", if *_2 { "naming the replica" } else { "naming no replica" })]
    Write(usize, ClaimRecord, bool),
    #[display("a write of vm-{_0} takes effect on the platform")]
    ApplyWrite(usize),
    #[display("vm-{_0} learns that its write took effect")]
    Stored(usize),
    #[display("vm-{_0} receives no answer to its write and reads the object unchanged")]
    Unanswered(usize),
    #[display("vm-{_0} reads an object that its pending write did not write and steps down")]
    StepDown(usize),
    #[display("vm-{_0} receives the request of call {_1} and records its claim")]
    Request(usize, CallNumber),
    #[display("the replica stores a copy of term {_0} and acknowledges it: {_1}")]
    Store(u8, ClaimRecord),
    #[display("vm-{_0} receives the acknowledgement")]
    Acknowledge(usize),
    #[display("vm-{_0} learns that nothing ran for call {_1}")]
    Release(usize, CallNumber),
    #[display("vm-{_0} stops waiting for the report of a run and frees the claim")]
    FreeUnreported(usize),
    #[display("call {_0} receives its grant and runs")]
    Run(CallNumber),
    #[display("call {_0} ends and its caller is told that nothing ran")]
    Close(CallNumber),
    #[display("vm-{_0} crashes and is replaced")]
    CrashOwner(usize),
    #[display("the replica crashes and is replaced")]
    CrashReplica,
}

/// The claim specification within bounds, with at most one mutation.
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
            ClaimStart::Regranted => self.regranted(),
        }
    }

    fn steps(&self, state: &ClaimState) -> NextStates {
        let mut next = Vec::new();
        if state.remaining.changes > 0 && state.epoch == 1 {
            let mut after = state.clone();
            after.remaining.changes -= 1;
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
            after.drop_spent_messages(acknowledges_old);
        }
        next
    }

    fn violated_invariant(&self, state: &ClaimState) -> Option<&'static str> {
        super::invariant::violated_invariant(state)
    }
}

/// Returns the roster epoch in which a VM is the owner.
pub(super) fn epoch_of(vm: usize) -> u8 {
    if vm == 0 { 1 } else { 2 }
}

fn read_step(state: &ClaimState, vm: usize, next: &mut NextStates) {
    let epoch = epoch_of(vm);
    if state.epoch < epoch || state.object.epoch > epoch || state.remaining.writes == 0 {
        return;
    }
    let mut after = state.clone();
    after.owners[vm].stage = super::takeover::begin(state);
    next.push((ClaimStep::Read(vm), after));
}

fn crash_steps(state: &ClaimState, next: &mut NextStates) {
    if state.remaining.crashes == 0 {
        return;
    }
    for vm in 0..state.owners.len() {
        if state.owners[vm].stage != OwnerStage::Idle {
            let mut after = state.clone();
            after.remaining.crashes -= 1;
            after.owners[vm] = OwnerState {
                incarnation: state.owners[vm].incarnation + 1,
                stage: OwnerStage::Idle,
            };
            next.push((ClaimStep::CrashOwner(vm), after));
        }
    }
    let mut after = state.clone();
    after.remaining.crashes -= 1;
    after.replica = ReplicaState {
        incarnation: state.replica.incarnation + 1,
        ..ReplicaState::default()
    };
    next.push((ClaimStep::CrashReplica, after));
}
