//! Steps of the placement specification.

use super::mutation::PlanMutation;
use super::state::{
    FlyingOrder, LeasePhase, MARGIN, OrderAction, PlanBounds, PlanStart, PlanState, STAGED,
};
use crate::explore::Specification;
use derive_more::Display;

/// What may happen.
#[derive(Debug, Display)]
pub(super) enum PlanStep {
    #[display("vm-{_0} sees version {_1} of the plan object")]
    Observe(usize, u8),
    #[display("vm-{_0} sends a write that takes the lease, if the version is still {_1}")]
    Acquire(usize, u8),
    #[display("vm-{_0} learns that it holds the lease")]
    Acquired(usize),
    #[display("vm-{_0} sends a write that renews the lease")]
    Renew(usize),
    #[display("vm-{_0} sends a write that holds the order: {_1}")]
    WriteIntent(usize, OrderAction),
    #[display("a write of vm-{_0} takes effect on the platform")]
    Land(usize),
    #[display("vm-{_0} learns that its write took effect, and issues the orders in it")]
    Landed(usize),
    #[display("vm-{_0} has no answer to its write and reads the object unchanged")]
    AnswerLost(usize),
    #[display("vm-{_0} learns that an earlier write took effect late")]
    LandedLate(usize),
    #[display("vm-{_0} gives up the lease")]
    StepDown(usize),
    #[display("vm-{_0} issues the order: {_1}")]
    Issue(usize, OrderAction),
    #[display("vm-{_0} sends the order: {_1}")]
    Send(usize, OrderAction),
    #[display("a copy of vm-{_0}'s order arrives: {_1}")]
    Arrive(usize, OrderAction),
    #[display("vm-{_0} hears that its order was accepted: {_1}")]
    Acknowledge(usize, OrderAction),
    #[display("the endpoint reports to vm-{_0}; the report is under way")]
    TakeReport(usize),
    #[display("vm-{_0} receives the report")]
    ReceiveReport(usize),
    #[display("a tick passes")]
    Tick,
    #[display("a tick passes that vm-{_0}'s clock does not count")]
    SlowTick(usize),
    #[display("the endpoint restarts with empty memory")]
    RestartEndpoint,
    #[display("vm-{_0} crashes and is replaced")]
    Crash(usize),
}

/// The specification within bounds.
#[derive(Debug)]
pub(super) struct PlanModel {
    pub(super) bounds: PlanBounds,
    pub(super) mutation: PlanMutation,
}

pub(super) type NextStates = Vec<(PlanStep, PlanState)>;

impl Specification for PlanModel {
    type State = PlanState;
    type Step = PlanStep;

    fn start(&self) -> PlanState {
        match self.bounds.start {
            PlanStart::Fresh => self.fresh(),
            PlanStart::Held => self.held(),
            PlanStart::Loaded => self.loaded(),
        }
    }

    fn steps(&self, state: &PlanState) -> NextStates {
        let mut next = Vec::new();
        for vm in 0..state.vms.len() {
            self.lease_steps(state, vm, &mut next);
            self.barrier_steps(state, vm, &mut next);
            self.report_steps(state, vm, &mut next);
        }
        self.network_steps(state, &mut next);
        self.crash_steps(state, &mut next);
        self.time_steps(state, &mut next);
        next
    }

    fn breach(&self, state: &PlanState) -> Option<&'static str> {
        super::invariant::breach(state)
    }
}

impl PlanModel {
    fn time_steps(&self, state: &PlanState, next: &mut NextStates) {
        let after = self.tick(state, None);
        if after != *state {
            next.push((PlanStep::Tick, after));
        }
        if state.left.slips > 0 {
            let mut after = self.tick(state, Some(0));
            after.left.slips -= 1;
            next.push((PlanStep::SlowTick(0), after));
        }
    }

    fn tick(&self, state: &PlanState, slow: Option<usize>) -> PlanState {
        let mut after = state.clone();
        for (vm, own) in after.vms.iter_mut().enumerate() {
            if slow != Some(vm) {
                pass_time(&mut own.phase);
            }
        }
        let orders = std::mem::take(&mut after.orders);
        let aged = orders.into_iter().map(|order| {
            let left = if slow == Some(order.vm) {
                order.left
            } else {
                order.left.saturating_sub(1)
            };
            FlyingOrder { left, ..order }
        });
        after.orders = aged.filter(|order| self.matters(order)).collect();
        after
    }

    /// Returns whether an order can still be sent or arrive.
    fn matters(&self, order: &FlyingOrder) -> bool {
        if order.sent {
            return order.left > 0;
        }
        order.left > MARGIN || self.mutation == PlanMutation::SendLate
    }
}

fn pass_time(phase: &mut LeasePhase) {
    let count = |left: &mut u8| *left = left.saturating_sub(1);
    match phase {
        LeasePhase::Follower(seen) => {
            count(&mut seen.free_left);
            count(&mut seen.quiet_left);
        }
        LeasePhase::Acquiring {
            lease_left,
            quiet_left,
            ..
        } => {
            count(lease_left);
            count(quiet_left);
        }
        LeasePhase::Held(lease) => {
            count(&mut lease.lease_left);
            count(&mut lease.quiet_left);
            if let Some(pending) = &mut lease.pending {
                count(pending);
            }
            for entry in lease.ledger.values_mut() {
                if entry.window != STAGED {
                    count(&mut entry.window);
                }
            }
        }
    }
}
