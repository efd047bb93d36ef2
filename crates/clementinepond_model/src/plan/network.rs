//! Steps of writes, orders and reports on their way, and of the endpoint.

use super::lease::take_number;
use super::mutation::PlanMutation;
use super::state::{
    FlyingOrder, FlyingWrite, LeasePhase, MARGIN, NUMBERS, OrderAction, PlanState, ReportView,
    VmState, WriteAnswer,
};
use super::step::{NextStates, PlanModel, PlanStep};

impl PlanModel {
    pub(super) fn network_steps(&self, state: &PlanState, next: &mut NextStates) {
        for write in &state.writes {
            if write.if_version == state.version {
                next.push((PlanStep::Land(write.vm), land(state, write)));
            }
        }
        for order in &state.orders {
            let in_time = order.left > MARGIN || self.mutation == PlanMutation::SendLate;
            if !order.sent && in_time {
                next.push((PlanStep::Send(order.vm, order.action), send(state, order)));
            }
            if order.sent && order.left > 0 {
                let after = self.deliver(state, order);
                if after != *state {
                    next.push((PlanStep::Arrive(order.vm, order.action), after));
                }
            }
            if order.arrived && self.mutation == PlanMutation::ReleaseOnAck {
                acknowledge(state, order, next);
            }
        }
    }

    fn deliver(&self, state: &PlanState, order: &FlyingOrder) -> PlanState {
        let mut after = state.clone();
        after.orders.remove(order);
        after.orders.insert(FlyingOrder {
            arrived: self.mutation == PlanMutation::ReleaseOnAck,
            ..order.clone()
        });
        let fencing = order.number / NUMBERS;
        let checks = self.bounds.checks_fencing;
        let endpoint = &mut after.endpoint;
        if checks && fencing < endpoint.fencing {
            return after;
        }
        endpoint.fencing = endpoint.fencing.max(fencing);
        if !endpoint.applied.insert(order.number) {
            return after;
        }
        endpoint.stale_landed |= !checks && fencing < endpoint.newest_landed;
        endpoint.newest_landed = endpoint.newest_landed.max(fencing);
        endpoint.last_order = order.number;
        match order.action {
            OrderAction::Load(model) => {
                endpoint.loaded.insert(model);
            }
            OrderAction::Unload(model) => {
                endpoint.loaded.remove(&model);
            }
            OrderAction::Barrier => {}
        }
        after
    }

    pub(super) fn report_steps(&self, state: &PlanState, vm: usize, next: &mut NextStates) {
        let lease = match &state.vms[vm].phase {
            // What a follower hears is in the start state of some bounds.
            LeasePhase::Follower(_) => return,
            LeasePhase::Acquiring { .. } => None,
            LeasePhase::Held(lease) => Some(lease),
        };
        let Some(report) = &state.vms[vm].report else {
            let report = ReportView {
                loaded: state.endpoint.loaded.clone(),
                last_order: state.endpoint.last_order,
            };
            if lease.is_none_or(|lease| lease.learns_from(&report)) {
                let mut after = state.clone();
                after.vms[vm].report = Some(report);
                next.push((PlanStep::TakeReport(vm), after));
            }
            return;
        };
        if lease.is_none() {
            return;
        }
        let mut after = state.clone();
        after.vms[vm].report = None;
        if let LeasePhase::Held(lease) = &mut after.vms[vm].phase {
            lease.take_report(report.clone(), self.mutation);
        }
        next.push((PlanStep::ReceiveReport(vm), after));
    }

    pub(super) fn barrier_steps(&self, state: &PlanState, vm: usize, next: &mut NextStates) {
        let LeasePhase::Held(lease) = &state.vms[vm].phase else {
            return;
        };
        let wanted = self.may_order(lease) && lease.needs_barrier();
        if !wanted || state.left.barriers == 0 {
            return;
        }
        let mut lease = lease.clone();
        let number = take_number(&mut lease);
        lease.note_barrier(number);
        if !lease.settled && lease.takeover_barrier.is_none() {
            lease.takeover_barrier = Some(number);
        }
        let mut after = state.clone();
        after.left.barriers -= 1;
        let order = self.new_order(vm, number, OrderAction::Barrier, lease.lease_left);
        after.orders.insert(order);
        after.vms[vm].phase = LeasePhase::Held(lease);
        next.push((PlanStep::Issue(vm, OrderAction::Barrier), after));
    }
}

fn land(state: &PlanState, write: &FlyingWrite) -> PlanState {
    let mut after = state.clone();
    after.writes.remove(write);
    after.version += 1;
    after.object = write.object.clone();
    // Only the latest answer to a VM is waited for.
    after.answers.retain(|answer| answer.vm != write.vm);
    after.answers.insert(WriteAnswer {
        vm: write.vm,
        nonce: write.object.nonce,
        renewal: write.object.renewal,
        version: after.version,
    });
    // A conditional update on an older version can never take effect.
    let version = after.version;
    after.writes.retain(|write| write.if_version >= version);
    after
}

fn send(state: &PlanState, order: &FlyingOrder) -> PlanState {
    let mut after = state.clone();
    after.orders.remove(order);
    after.orders.insert(FlyingOrder {
        sent: true,
        left: order.left.max(MARGIN),
        ..order.clone()
    });
    after
}

fn acknowledge(state: &PlanState, order: &FlyingOrder, next: &mut NextStates) {
    let mut after = state.clone();
    if let LeasePhase::Held(lease) = &mut after.vms[order.vm].phase
        && lease.ledger.remove(&order.number).is_some()
    {
        next.push((PlanStep::Acknowledge(order.vm, order.action), after));
    }
}

impl PlanModel {
    /// Steps of processes that die.
    pub(super) fn crash_steps(&self, state: &PlanState, next: &mut NextStates) {
        if state.left.restarts > 0 && state.endpoint.last_order > 0 {
            let mut after = state.clone();
            after.left.restarts -= 1;
            let endpoint = &mut after.endpoint;
            endpoint.loaded.clear();
            endpoint.applied.clear();
            endpoint.last_order = 0;
            endpoint.fencing = 0;
            next.push((PlanStep::RestartEndpoint, after));
        }
        for vm in 0..state.vms.len() {
            let replaced = VmState::watching(self.first_sight(state, vm));
            if state.left.crashes == 0 || state.vms[vm] == replaced {
                continue;
            }
            let mut after = state.clone();
            after.left.crashes -= 1;
            after.vms[vm] = replaced;
            after.orders.retain(|order| order.sent || order.vm != vm);
            next.push((PlanStep::Crash(vm), after));
        }
    }
}
