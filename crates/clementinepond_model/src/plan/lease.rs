//! Steps of the lease: acquisition, renewal, writes of orders and their outcomes.

use super::mutation::PlanMutation;
use super::state::{
    ARRIVAL_MARGIN, DRIFT, HeldLease, InFlightOrder, InFlightWrite, LeasePhase, LedgerEntry,
    ORDER_LIFETIME, ORDERS_PER_HOLDER, OrderAction, OrderNumber, PlanObject, PlanStart, PlanState,
    ReportView, SeenObject, UNISSUED_WINDOW,
};
use super::step::{NextStates, PlanModel, PlanStep};

impl PlanModel {
    pub(super) fn lease_steps(&self, state: &PlanState, vm: usize, next: &mut NextStates) {
        match &state.vms[vm].phase {
            LeasePhase::Follower(seen) => self.follow(state, vm, seen, next),
            LeasePhase::Acquiring {
                if_version,
                object,
                lease_left,
                effect_left,
            } => {
                let effect_left = *effect_left;
                if *lease_left == 0 {
                    self.step_down(state, vm, next);
                } else if let Some(version) = answered(state, vm, object.nonce, object.renewal) {
                    let lease = self.acquired(object, version, *lease_left, effect_left);
                    push_phase(
                        state,
                        vm,
                        PlanStep::Acquired(vm),
                        LeasePhase::Held(lease),
                        next,
                    );
                } else if state.version > *if_version {
                    self.step_down(state, vm, next);
                }
            }
            LeasePhase::Held(lease) => self.hold(state, vm, lease, next),
        }
    }

    fn follow(&self, state: &PlanState, vm: usize, seen: &SeenObject, next: &mut NextStates) {
        if seen.version < state.version && self.may_take(state, vm) {
            let phase = LeasePhase::Follower(self.observe(state, vm));
            push_phase(state, vm, PlanStep::Observe(vm, state.version), phase, next);
        }
        if seen.authority_left > 0 || !self.may_take(state, vm) || state.remaining.writes == 0 {
            return;
        }
        let object = PlanObject {
            holder: Some(vm),
            fencing: seen.object.fencing + 1,
            nonce: self.nonce(state),
            renewal: 1,
            orders: seen.object.orders.clone(),
        };
        let mut after = state.clone();
        after.remaining.acquisitions -= 1;
        after.remaining.writes -= 1;
        after.writes.insert(InFlightWrite {
            vm,
            if_version: seen.version,
            object: object.clone(),
        });
        let skips = self.mutation == PlanMutation::NoWaitOnTakeover;
        after.vms[vm].phase = LeasePhase::Acquiring {
            if_version: seen.version,
            object,
            lease_left: self.bounds.lease,
            effect_left: if skips { 0 } else { seen.effect_left },
        };
        next.push((PlanStep::Acquire(vm, seen.version), after));
    }

    /// Returns whether a VM may acquire the lease within the bounds.
    fn may_take(&self, state: &PlanState, vm: usize) -> bool {
        let turn = match self.bounds.start {
            // The VMs are interchangeable, so it suffices that the first VM is first.
            PlanStart::Fresh => vm == 0 || state.version > 0,
            PlanStart::Held | PlanStart::Loaded => vm == 1,
        };
        turn && state.remaining.acquisitions > 0
    }

    pub(super) fn observe(&self, state: &PlanState, vm: usize) -> SeenObject {
        if !self.may_take(state, vm) {
            // What the VM sees has no effect while it may not acquire the lease.
            return SeenObject::default();
        }
        let drift = if self.mutation == PlanMutation::IgnoreDrift {
            0
        } else {
            DRIFT
        };
        let held = state.object.holder.is_some();
        SeenObject {
            version: state.version,
            object: state.object.clone(),
            authority_left: if held { self.bounds.lease + drift } else { 0 },
            effect_left: if held {
                self.bounds.lease + ARRIVAL_MARGIN + drift
            } else {
                0
            },
        }
    }

    fn push_write(
        &self,
        state: &PlanState,
        vm: usize,
        mut lease: HeldLease,
        step: PlanStep,
        next: &mut NextStates,
    ) {
        lease.renewal += 1;
        lease.pending = Some(self.bounds.lease);
        let orders = lease.ledger.iter();
        let object = PlanObject {
            holder: Some(vm),
            fencing: lease.fencing,
            nonce: lease.nonce,
            renewal: lease.renewal,
            orders: orders
                .map(|(number, entry)| (*number, entry.action))
                .collect(),
        };
        let mut after = state.clone();
        after.remaining.writes -= 1;
        after.writes.insert(InFlightWrite {
            vm,
            if_version: lease.version,
            object,
        });
        after.vms[vm].phase = LeasePhase::Held(lease);
        next.push((step, after));
    }

    fn nonce(&self, state: &PlanState) -> u8 {
        if self.mutation == PlanMutation::ReuseNonce {
            return 0;
        }
        self.bounds.writes - state.remaining.writes
    }

    pub(super) fn acquired(
        &self,
        object: &PlanObject,
        version: u8,
        lease_left: u8,
        effect_left: u8,
    ) -> HeldLease {
        let inherit = self.mutation != PlanMutation::ForgetInheritedOrders;
        let inherited = object.orders.iter().filter(|_| inherit);
        let ledger = inherited.map(|(number, action)| {
            let entry = LedgerEntry {
                action: *action,
                window: effect_left,
                barrier: None,
            };
            (*number, entry)
        });
        let from_reply = self.mutation == PlanMutation::LeaseFromReply;
        let is_first = object.fencing == 1 && self.bounds.unused;
        HeldLease {
            fencing: object.fencing,
            nonce: object.nonce,
            version,
            renewal: 1,
            lease_left: if from_reply {
                self.bounds.lease
            } else {
                lease_left
            },
            effect_left,
            pending: None,
            // No order precedes the first holder of an unused endpoint.
            confirmed: is_first || self.mutation == PlanMutation::NoBarrierOnTakeover,
            takeover_barrier: None,
            last_number: object.fencing * ORDERS_PER_HOLDER,
            ledger: ledger.collect(),
            view: is_first.then(ReportView::default),
        }
    }

    fn hold(&self, state: &PlanState, vm: usize, lease: &HeldLease, next: &mut NextStates) {
        let own = state.object.holder == Some(vm) && state.object.nonce == lease.nonce;
        let lost = state.version > lease.version && !own;
        if lease.lease_left == 0 || lost {
            self.step_down(state, vm, next);
        }
        if lease.lease_left == 0 {
            return;
        }
        if let Some(pending) = lease.pending {
            if let Some(version) = answered(state, vm, lease.nonce, lease.renewal) {
                self.write_confirmed(state, vm, lease, (version, pending), next);
            } else if own && state.version == lease.version && state.remaining.unanswered > 0 {
                // The write may still take effect; the next one has its own renewal number.
                let mut lease = lease.clone();
                lease.pending = None;
                push_phase(
                    state,
                    vm,
                    PlanStep::AnswerLost(vm),
                    LeasePhase::Held(lease),
                    next,
                );
            }
            return;
        }
        if state.version > lease.version && own {
            // An earlier write of this term took effect late.
            let mut lease = lease.clone();
            lease.version = state.version;
            push_phase(
                state,
                vm,
                PlanStep::LateWriteConfirmed(vm),
                LeasePhase::Held(lease),
                next,
            );
            return;
        }
        self.write_steps(state, vm, lease, next);
    }

    fn write_steps(&self, state: &PlanState, vm: usize, lease: &HeldLease, next: &mut NextStates) {
        if state.remaining.writes > 0 && state.remaining.renewals > 0 {
            let mut renewing = state.clone();
            renewing.remaining.renewals -= 1;
            self.push_write(&renewing, vm, lease.clone(), PlanStep::Renew(vm), next);
        }
        if !self.may_order(lease) || state.remaining.orders == 0 {
            return;
        }
        for action in lease.allowed_orders(self.bounds.unloads) {
            let mut lease = lease.clone();
            let number = assign_number(&mut lease);
            let early = self.mutation == PlanMutation::SendBeforeIntent;
            let entry = LedgerEntry {
                action,
                window: if early {
                    order_window()
                } else {
                    UNISSUED_WINDOW
                },
                barrier: None,
            };
            lease.ledger.insert(number, entry);
            let mut after = state.clone();
            after.remaining.orders -= 1;
            if early {
                after
                    .orders
                    .insert(self.new_order(vm, number, action, lease.lease_left));
                after.vms[vm].phase = LeasePhase::Held(lease);
                next.push((PlanStep::Issue(vm, action), after));
            } else if after.remaining.writes > 0 {
                self.push_write(&after, vm, lease, PlanStep::WriteIntent(vm, action), next);
            }
        }
    }

    /// Adds the step in which the holder learns that its write took effect. It then issues
    /// the orders in that write.
    fn write_confirmed(
        &self,
        state: &PlanState,
        vm: usize,
        lease: &HeldLease,
        (version, pending): (u8, u8),
        next: &mut NextStates,
    ) {
        let mut lease = lease.clone();
        let from_reply = self.mutation == PlanMutation::LeaseFromReply;
        lease.version = version;
        lease.pending = None;
        lease.lease_left = if from_reply {
            self.bounds.lease
        } else {
            pending
        };
        let mut after = state.clone();
        if lease.lease_left > 0 {
            for (number, entry) in &mut lease.ledger {
                if entry.window == UNISSUED_WINDOW {
                    entry.window = order_window();
                    let order = self.new_order(vm, *number, entry.action, lease.lease_left);
                    after.orders.insert(order);
                }
            }
        }
        after.vms[vm].phase = LeasePhase::Held(lease);
        next.push((PlanStep::WriteConfirmed(vm), after));
    }

    /// Adds the step in which a VM returns to following and discards its ledger.
    fn step_down(&self, state: &PlanState, vm: usize, next: &mut NextStates) {
        let phase = LeasePhase::Follower(self.observe(state, vm));
        push_phase(state, vm, PlanStep::StepDown(vm), phase, next);
    }

    pub(super) fn may_order(&self, lease: &HeldLease) -> bool {
        lease.lease_left > 0 && (lease.effect_left == 0 || self.bounds.checks_fencing)
    }

    pub(super) fn new_order(
        &self,
        vm: usize,
        number: OrderNumber,
        action: OrderAction,
        lease_left: u8,
    ) -> InFlightOrder {
        let without_deadline = self.mutation == PlanMutation::OrdersWithoutDeadline;
        let ticks_left = if without_deadline {
            2 * (self.bounds.lease + ARRIVAL_MARGIN + DRIFT)
        } else {
            lease_left.min(ORDER_LIFETIME) + ARRIVAL_MARGIN
        };
        InFlightOrder {
            number,
            vm,
            action,
            ticks_left,
            // A send after a delay has no effect that a late arrival lacks, as long as
            // nothing is sent after the deadline.
            sent: self.mutation != PlanMutation::SendLate,
            arrived: false,
        }
    }
}

/// Returns the version that a write created, if its answer can arrive.
fn answered(state: &PlanState, vm: usize, nonce: u8, renewal: u8) -> Option<u8> {
    let mut answers = state.answers.iter();
    let answer = answers
        .find(|answer| answer.vm == vm && answer.nonce == nonce && answer.renewal == renewal);
    answer.map(|answer| answer.version)
}

/// Returns the ticks after which no copy of an order issued now can take effect.
pub(super) const fn order_window() -> u8 {
    ORDER_LIFETIME + ARRIVAL_MARGIN + DRIFT
}

pub(super) fn assign_number(lease: &mut HeldLease) -> OrderNumber {
    lease.last_number += 1;
    lease.last_number
}

fn push_phase(
    state: &PlanState,
    vm: usize,
    step: PlanStep,
    phase: LeasePhase,
    next: &mut NextStates,
) {
    let mut after = state.clone();
    after.vms[vm].phase = phase;
    next.push((step, after));
}
