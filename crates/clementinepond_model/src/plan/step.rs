//! Steps of the placement specification.

use super::mutation::PlanMutation;
use super::state::{
    ARRIVAL_MARGIN, InFlightOrder, LeasePhase, OrderAction, PlanBounds, PlanStart, PlanState,
    UNISSUED_WINDOW,
};
use crate::explore::Specification;
use derive_more::Display;

/// Event that may happen next.
#[derive(Debug, Display)]
pub(super) enum PlanStep {
    #[display("vm-{_0} sees version {_1} of the plan object")]
    Observe(usize, u8),
    #[display("vm-{_0} sends a write that acquires the lease, if the version is still {_1}")]
    Acquire(usize, u8),
    #[display("vm-{_0} learns that it holds the lease")]
    Acquired(usize),
    #[display("vm-{_0} sends a write that renews the lease")]
    Renew(usize),
    #[display("vm-{_0} sends a write that contains the order: {_1}")]
    WriteIntent(usize, OrderAction),
    #[display("a write of vm-{_0} takes effect on the platform")]
    ApplyWrite(usize),
    #[display("vm-{_0} learns that its write took effect, and issues the orders in it")]
    WriteConfirmed(usize),
    #[display("vm-{_0} receives no answer to its write and reads the object unchanged")]
    AnswerLost(usize),
    #[display("vm-{_0} learns that an earlier write took effect late")]
    LateWriteConfirmed(usize),
    #[display("vm-{_0} steps down")]
    StepDown(usize),
    #[display("vm-{_0} issues the order: {_1}")]
    Issue(usize, OrderAction),
    #[display("vm-{_0} sends the order: {_1}")]
    Send(usize, OrderAction),
    #[display("a copy of vm-{_0}'s order arrives: {_1}")]
    Arrive(usize, OrderAction),
    #[display("vm-{_0} learns that its order was accepted: {_1}")]
    Acknowledge(usize, OrderAction),
    #[display("the endpoint sends a report to vm-{_0}")]
    SendReport(usize),
    #[display("vm-{_0} receives the report")]
    ReceiveReport(usize),
    #[display("a tick passes")]
    Tick,
    #[display("a tick passes that vm-{_0}'s clock misses")]
    MissedTick(usize),
    #[display("the endpoint restarts with empty memory")]
    RestartEndpoint,
    #[display("vm-{_0} crashes and is replaced")]
    Crash(usize),
}

/// The placement specification within bounds, with at most one mutation.
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

    fn violated_invariant(&self, state: &PlanState) -> Option<&'static str> {
        super::invariant::violated_invariant(state)
    }
}

impl PlanModel {
    fn time_steps(&self, state: &PlanState, next: &mut NextStates) {
        let after = self.tick(state, None);
        if after != *state {
            next.push((PlanStep::Tick, after));
        }
        if state.remaining.missed_ticks > 0 {
            let mut after = self.tick(state, Some(0));
            after.remaining.missed_ticks -= 1;
            next.push((PlanStep::MissedTick(0), after));
        }
    }

    fn tick(&self, state: &PlanState, missed_by: Option<usize>) -> PlanState {
        let mut after = state.clone();
        for (vm, own) in after.vms.iter_mut().enumerate() {
            if missed_by != Some(vm) {
                advance(&mut own.phase);
            }
        }
        let orders = std::mem::take(&mut after.orders);
        let aged = orders.into_iter().map(|order| {
            let ticks_left = if missed_by == Some(order.vm) {
                order.ticks_left
            } else {
                order.ticks_left.saturating_sub(1)
            };
            InFlightOrder {
                ticks_left,
                ..order
            }
        });
        after.orders = aged.filter(|order| self.may_take_effect(order)).collect();
        after
    }

    /// Returns whether an order may still be sent or arrive.
    fn may_take_effect(&self, order: &InFlightOrder) -> bool {
        if order.sent {
            return order.ticks_left > 0;
        }
        order.ticks_left > ARRIVAL_MARGIN || self.mutation == PlanMutation::SendLate
    }
}

fn advance(phase: &mut LeasePhase) {
    let decrement = |left: &mut u8| *left = left.saturating_sub(1);
    match phase {
        LeasePhase::Follower(seen) => {
            decrement(&mut seen.authority_left);
            decrement(&mut seen.effect_left);
        }
        LeasePhase::Acquiring {
            lease_left,
            effect_left,
            ..
        } => {
            decrement(lease_left);
            decrement(effect_left);
        }
        LeasePhase::Held(lease) => {
            decrement(&mut lease.lease_left);
            decrement(&mut lease.effect_left);
            if let Some(pending) = &mut lease.pending {
                decrement(pending);
            }
            for entry in lease.ledger.values_mut() {
                if entry.window != UNISSUED_WINDOW {
                    decrement(&mut entry.window);
                }
            }
        }
    }
}
