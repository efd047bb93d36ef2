//! Steps of writes, orders and reports in flight, and of the endpoint.

use super::lease::assign_number;
use super::mutation::PlanMutation;
use super::state::{
    ARRIVAL_MARGIN, InFlightOrder, InFlightWrite, LeasePhase, ORDERS_PER_HOLDER, OrderAction,
    PlanState, ReportView, VmState, WriteAnswer,
};
use super::step::{NextStates, PlanModel, PlanStep};

impl PlanModel {
    pub(super) fn network_steps(&self, state: &PlanState, next: &mut NextStates) {
        for write in &state.writes {
            if write.if_version == state.version {
                next.push((PlanStep::ApplyWrite(write.vm), apply_write(state, write)));
            }
        }
        for order in &state.orders {
            let in_time =
                order.ticks_left > ARRIVAL_MARGIN || self.mutation == PlanMutation::SendLate;
            if !order.sent && in_time {
                next.push((PlanStep::Send(order.vm, order.action), send(state, order)));
            }
            if order.sent && order.ticks_left > 0 {
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

    fn deliver(&self, state: &PlanState, order: &InFlightOrder) -> PlanState {
        let mut after = state.clone();
        after.orders.remove(order);
        after.orders.insert(InFlightOrder {
            arrived: self.mutation == PlanMutation::ReleaseOnAck,
            ..order.clone()
        });
        let fencing = order.number / ORDERS_PER_HOLDER;
        let checks = self.bounds.checks_fencing;
        let endpoint = &mut after.endpoint;
        if checks && fencing < endpoint.fencing {
            return after;
        }
        endpoint.fencing = endpoint.fencing.max(fencing);
        if !endpoint.applied.insert(order.number) {
            return after;
        }
        endpoint.stale_applied |= !checks && fencing < endpoint.newest_applied;
        endpoint.newest_applied = endpoint.newest_applied.max(fencing);
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
            // Some initial states contain a report in flight to a follower.
            LeasePhase::Follower(_) => return,
            LeasePhase::Acquiring { .. } => None,
            LeasePhase::Held(lease) => Some(lease),
        };
        let Some(report) = &state.vms[vm].report else {
            let report = ReportView {
                loaded: state.endpoint.loaded.clone(),
                last_order: state.endpoint.last_order,
            };
            if lease.is_none_or(|lease| lease.is_changed_by(&report)) {
                let mut after = state.clone();
                after.vms[vm].report = Some(report);
                next.push((PlanStep::SendReport(vm), after));
            }
            return;
        };
        if lease.is_none() {
            return;
        }
        let mut after = state.clone();
        after.vms[vm].report = None;
        if let LeasePhase::Held(lease) = &mut after.vms[vm].phase {
            lease.apply_report(report.clone(), self.mutation);
        }
        next.push((PlanStep::ReceiveReport(vm), after));
    }

    pub(super) fn barrier_steps(&self, state: &PlanState, vm: usize, next: &mut NextStates) {
        let LeasePhase::Held(lease) = &state.vms[vm].phase else {
            return;
        };
        let wanted = self.may_order(lease) && lease.needs_barrier();
        if !wanted || state.remaining.barriers == 0 {
            return;
        }
        let mut lease = lease.clone();
        let number = assign_number(&mut lease);
        lease.record_barrier(number);
        if !lease.confirmed && lease.takeover_barrier.is_none() {
            lease.takeover_barrier = Some(number);
        }
        let mut after = state.clone();
        after.remaining.barriers -= 1;
        let order = self.new_order(vm, number, OrderAction::Barrier, lease.lease_left);
        after.orders.insert(order);
        after.vms[vm].phase = LeasePhase::Held(lease);
        next.push((PlanStep::Issue(vm, OrderAction::Barrier), after));
    }
}

fn apply_write(state: &PlanState, write: &InFlightWrite) -> PlanState {
    let mut after = state.clone();
    after.writes.remove(write);
    after.version += 1;
    after.object = write.object.clone();
    // A VM waits only for the answer to its latest write.
    after.answers.retain(|answer| answer.vm != write.vm);
    after.answers.insert(WriteAnswer {
        vm: write.vm,
        nonce: write.object.nonce,
        renewal: write.object.renewal,
        version: after.version,
    });
    // A conditional write on an older version can no longer take effect.
    let version = after.version;
    after.writes.retain(|write| write.if_version >= version);
    after
}

fn send(state: &PlanState, order: &InFlightOrder) -> PlanState {
    let mut after = state.clone();
    after.orders.remove(order);
    after.orders.insert(InFlightOrder {
        sent: true,
        ticks_left: order.ticks_left.max(ARRIVAL_MARGIN),
        ..order.clone()
    });
    after
}

fn acknowledge(state: &PlanState, order: &InFlightOrder, next: &mut NextStates) {
    let mut after = state.clone();
    if let LeasePhase::Held(lease) = &mut after.vms[order.vm].phase
        && lease.ledger.remove(&order.number).is_some()
    {
        next.push((PlanStep::Acknowledge(order.vm, order.action), after));
    }
}

impl PlanModel {
    /// Adds the restart of the endpoint and the crashes of VMs.
    pub(super) fn crash_steps(&self, state: &PlanState, next: &mut NextStates) {
        if state.remaining.restarts > 0 && state.endpoint.last_order > 0 {
            let mut after = state.clone();
            after.remaining.restarts -= 1;
            let endpoint = &mut after.endpoint;
            endpoint.loaded.clear();
            endpoint.applied.clear();
            endpoint.last_order = 0;
            endpoint.fencing = 0;
            next.push((PlanStep::RestartEndpoint, after));
        }
        for vm in 0..state.vms.len() {
            let replaced = VmState::follower(self.observe(state, vm));
            if state.remaining.crashes == 0 || state.vms[vm] == replaced {
                continue;
            }
            let mut after = state.clone();
            after.remaining.crashes -= 1;
            after.vms[vm] = replaced;
            after.orders.retain(|order| order.sent || order.vm != vm);
            next.push((PlanStep::Crash(vm), after));
        }
    }
}
