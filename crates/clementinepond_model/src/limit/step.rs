//! Steps of the limit specification.

use super::mutation::LimitMutation;
use super::part::spend;
use super::state::{
    COSTS, DRIFT, HOLD_OFF, LOAN_DURATION, LenderState, LimitBounds, LimitState, NEVER, OwnerState,
    PART_BURST, PARTS, PartStage, PendingAdmission,
};
use crate::explore::Specification;
use derive_more::Display;

/// Event that may happen next.
#[derive(Debug, Display)]
pub(super) enum LimitStep {
    #[display("the owner sends poll {_0}")]
    Poll(u8),
    #[display("the lender receives poll {_0} and lends its part")]
    Lend(u8),
    #[display("the owner receives the loan for poll {_0}")]
    Borrow(u8),
    #[display("the lender spends a token")]
    LenderSpends,
    #[display("the owner admits a request of {_0} tokens")]
    Admit(u8),
    #[display("the owner dispatches the admitted request and spends {_0} tokens")]
    Act(u8),
    #[display("a tick passes")]
    Tick,
    #[display("a tick passes that the owner's clock misses")]
    MissedTick,
    #[display("the lender stops using its part and sends its release")]
    Release,
    #[display("the lender receives no answer to its release and uses its part again")]
    Resume,
    #[display("the release takes effect on the platform")]
    ApplyRelease,
    #[display("the lender stops and is no longer listed")]
    Stop,
    #[display("the lender is removed from the table")]
    Remove,
    #[display("the owner learns that both parts are its own")]
    LearnMove,
    #[display("the lender restarts and loses the record of its loans")]
    Restart,
}

/// The limit specification within bounds, with at most one mutation.
#[derive(Debug)]
pub(super) struct LimitModel {
    pub(super) bounds: LimitBounds,
    pub(super) mutation: LimitMutation,
}

type NextStates = Vec<(LimitStep, LimitState)>;

impl Specification for LimitModel {
    type State = LimitState;
    type Step = LimitStep;

    fn start(&self) -> LimitState {
        LimitState {
            remaining: self.bounds,
            reference: PARTS * PART_BURST,
            overspent: false,
            lender: LenderState {
                level: PART_BURST,
                stage: PartStage::Held,
                lent: None,
                start_wait: 0,
                hold_off: 0,
            },
            owner: OwnerState {
                level: PART_BURST,
                polls: [].into(),
                borrowed: None,
                owns_both: false,
                admitted: None,
            },
            polls: [].into(),
            loans: [].into(),
            moved: false,
        }
    }

    fn steps(&self, state: &LimitState) -> NextStates {
        let mut next = Vec::new();
        self.loan_steps(state, &mut next);
        self.spend_steps(state, &mut next);
        self.move_steps(state, &mut next);
        self.restart_steps(state, &mut next);
        let after = self.tick(state, false);
        if after != *state {
            next.push((LimitStep::Tick, after));
        }
        if state.remaining.missed_ticks > 0 {
            let mut after = self.tick(state, true);
            after.remaining.missed_ticks -= 1;
            next.push((LimitStep::MissedTick, after));
        }
        next
    }

    fn violated_invariant(&self, state: &LimitState) -> Option<&'static str> {
        super::invariant::violated_invariant(state)
    }
}

impl LimitModel {
    /// Returns the ticks for which the owner may use a loan, counted from its poll.
    fn usable_duration(&self) -> u8 {
        if self.mutation == LimitMutation::IgnoreDrift {
            LOAN_DURATION
        } else {
            LOAN_DURATION - DRIFT
        }
    }

    fn loan_steps(&self, state: &LimitState, next: &mut NextStates) {
        if state.remaining.polls > 0 {
            let mut after = state.clone();
            after.remaining.polls -= 1;
            let poll = self.bounds.polls - after.remaining.polls;
            after.polls.insert(poll);
            after.owner.polls.insert(poll, self.usable_duration());
            next.push((LimitStep::Poll(poll), after));
        }
        let lender = &state.lender;
        let lends = lender.stage == PartStage::Held && lender.start_wait == 0;
        let answered = lender.lent.map_or(0, |(_, poll)| poll);
        for &poll in state.polls.iter().filter(|poll| lends && **poll > answered) {
            let mut after = state.clone();
            after.lender.lent = Some((LOAN_DURATION, poll));
            if self.mutation != LimitMutation::KeepLentSlice {
                after.lender.level = 0;
            }
            after.loans.insert(poll);
            next.push((LimitStep::Lend(poll), after));
        }
        let current = state.owner.borrowed.map_or(0, |(_, poll)| poll);
        for &poll in state.loans.iter().filter(|poll| **poll > current) {
            let counted = state.owner.polls.get(&poll).copied().unwrap_or_default();
            let from_receipt = self.mutation == LimitMutation::CountFromReceipt;
            let left = if from_receipt {
                self.usable_duration()
            } else {
                counted
            };
            if left > 0 {
                let mut after = state.clone();
                after.owner.borrowed = Some((left, poll));
                next.push((LimitStep::Borrow(poll), after));
            }
        }
    }

    fn spend_steps(&self, state: &LimitState, next: &mut NextStates) {
        if self.uses_part(&state.lender) && state.lender.level > 0 {
            let mut after = state.clone();
            after.lender.level -= 1;
            spend(&mut after, 1);
            next.push((LimitStep::LenderSpends, after));
        }
        if let Some(admission) = state.owner.admitted {
            let mut after = state.clone();
            after.owner.admitted = None;
            spend(&mut after, admission.cost);
            next.push((LimitStep::Act(admission.cost), after));
            return;
        }
        for cost in COSTS.into_iter().filter(|cost| *cost <= state.owner.level) {
            let mut after = state.clone();
            after.owner.level -= cost;
            let ticks_left = state.owner.borrowed.map_or(NEVER, |(left, _)| left);
            after.owner.admitted = Some(PendingAdmission { ticks_left, cost });
            next.push((LimitStep::Admit(cost), after));
        }
    }

    fn move_steps(&self, state: &LimitState, next: &mut NextStates) {
        let early = self.mutation == LimitMutation::ReleaseBeforeStop;
        let is_held = state.lender.stage == PartStage::Held && state.remaining.moves > 0;
        if is_held && state.lender.start_wait == 0 && (state.lender.lent.is_none() || early) {
            let mut after = state.clone();
            after.remaining.moves -= 1;
            after.lender.stage = PartStage::Releasing;
            after.lender.level = 0;
            next.push((LimitStep::Release, after));
        }
        if is_held {
            let mut after = state.clone();
            after.remaining.moves -= 1;
            after.lender.stage = PartStage::Stopped;
            after.lender.level = 0;
            after.lender.lent = None;
            after.lender.start_wait = 0;
            let at_once = self.mutation == LimitMutation::RemoveWithoutHoldOff;
            after.lender.hold_off = if at_once { 0 } else { HOLD_OFF };
            next.push((LimitStep::Stop, after));
        }
        // A release may take effect after its sender has stopped waiting for it.
        let released = state.lender.stage != PartStage::Stopped && state.remaining.moves == 0;
        if released && !state.moved {
            let mut after = state.clone();
            after.moved = true;
            next.push((LimitStep::ApplyRelease, after));
        }
        let unknown = self.mutation == LimitMutation::ResumeOnUnknown;
        if state.lender.stage == PartStage::Releasing && unknown && !state.moved {
            let mut after = state.clone();
            after.lender.stage = PartStage::Held;
            next.push((LimitStep::Resume, after));
        }
        let removable = state.lender.stage == PartStage::Stopped && state.lender.hold_off == 0;
        if removable && !state.moved {
            let mut after = state.clone();
            after.moved = true;
            next.push((LimitStep::Remove, after));
        }
        if state.moved && !state.owner.owns_both {
            let mut after = state.clone();
            after.owner.owns_both = true;
            next.push((LimitStep::LearnMove, after));
        }
    }

    fn restart_steps(&self, state: &LimitState, next: &mut NextStates) {
        if state.remaining.restarts == 0 || state.lender.stage != PartStage::Held {
            return;
        }
        let mut after = state.clone();
        after.remaining.restarts -= 1;
        let skips = self.mutation == LimitMutation::SkipStartWait;
        after.lender = LenderState {
            level: 0,
            stage: PartStage::Held,
            lent: None,
            start_wait: if skips { 0 } else { HOLD_OFF },
            hold_off: 0,
        };
        next.push((LimitStep::Restart, after));
    }
}
