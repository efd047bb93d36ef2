//! Steps of the limit specification.

use super::mutation::LimitMutation;
use super::part::spend;
use super::state::{
    COSTS, DRIFT, HOLD_OFF, HomeState, LenderState, LimitBounds, LimitState, NEVER, PART_BURST,
    PARTS, PartStage, PendingAdmission, SPAN,
};
use crate::explore::Specification;
use derive_more::Display;

/// What may happen.
#[derive(Debug, Display)]
pub(super) enum LimitStep {
    #[display("the home sends poll {_0}")]
    Poll(u8),
    #[display("the lender receives poll {_0} and lends its part")]
    Lend(u8),
    #[display("the home receives the loan for poll {_0}")]
    Borrow(u8),
    #[display("the lender spends a token")]
    LenderSpends,
    #[display("the home admits a request of {_0} tokens")]
    Admit(u8),
    #[display("the home acts on its admission and spends {_0} tokens")]
    Act(u8),
    #[display("a tick passes")]
    Tick,
    #[display("a tick passes that the home's clock does not count")]
    SlowTick,
    #[display("the lender stops using its part and sends its release")]
    Release,
    #[display("the lender has no answer to its release and uses its part again")]
    Resume,
    #[display("the release takes effect on the platform")]
    LandRelease,
    #[display("the lender stops and is listed as gone")]
    Stop,
    #[display("the lender is removed from the table")]
    Remove,
    #[display("the home learns that both parts are its own")]
    LearnMove,
    #[display("the lender restarts and has forgotten its loans")]
    Restart,
}

/// The specification within bounds.
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
            left: self.bounds,
            reference: PARTS * PART_BURST,
            overspent: false,
            lender: LenderState {
                level: PART_BURST,
                stage: PartStage::Held,
                lent: None,
                start_wait: 0,
                hold_off: 0,
            },
            home: HomeState {
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
        if state.left.slips > 0 {
            let mut after = self.tick(state, true);
            after.left.slips -= 1;
            next.push((LimitStep::SlowTick, after));
        }
        next
    }

    fn breach(&self, state: &LimitState) -> Option<&'static str> {
        super::invariant::breach(state)
    }
}

impl LimitModel {
    /// Returns the ticks for which a home may count on a loan.
    fn usable_span(&self) -> u8 {
        if self.mutation == LimitMutation::IgnoreDrift {
            SPAN
        } else {
            SPAN - DRIFT
        }
    }

    fn loan_steps(&self, state: &LimitState, next: &mut NextStates) {
        if state.left.polls > 0 {
            let mut after = state.clone();
            after.left.polls -= 1;
            let poll = self.bounds.polls - after.left.polls;
            after.polls.insert(poll);
            after.home.polls.insert(poll, self.usable_span());
            next.push((LimitStep::Poll(poll), after));
        }
        let lender = &state.lender;
        let lends = lender.stage == PartStage::Held && lender.start_wait == 0;
        let answered = lender.lent.map_or(0, |(_, poll)| poll);
        for &poll in state.polls.iter().filter(|poll| lends && **poll > answered) {
            let mut after = state.clone();
            after.lender.lent = Some((SPAN, poll));
            if self.mutation != LimitMutation::KeepLentSlice {
                after.lender.level = 0;
            }
            after.loans.insert(poll);
            next.push((LimitStep::Lend(poll), after));
        }
        let current = state.home.borrowed.map_or(0, |(_, poll)| poll);
        for &poll in state.loans.iter().filter(|poll| **poll > current) {
            let counted = state.home.polls.get(&poll).copied().unwrap_or_default();
            let from_receipt = self.mutation == LimitMutation::CountFromReceipt;
            let left = if from_receipt {
                self.usable_span()
            } else {
                counted
            };
            if left > 0 {
                let mut after = state.clone();
                after.home.borrowed = Some((left, poll));
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
        if let Some(admission) = state.home.admitted {
            let mut after = state.clone();
            after.home.admitted = None;
            spend(&mut after, admission.cost);
            next.push((LimitStep::Act(admission.cost), after));
            return;
        }
        for cost in COSTS.into_iter().filter(|cost| *cost <= state.home.level) {
            let mut after = state.clone();
            after.home.level -= cost;
            let left = state.home.borrowed.map_or(NEVER, |(left, _)| left);
            after.home.admitted = Some(PendingAdmission { left, cost });
            next.push((LimitStep::Admit(cost), after));
        }
    }

    fn move_steps(&self, state: &LimitState, next: &mut NextStates) {
        let early = self.mutation == LimitMutation::ReleaseBeforeStop;
        let is_held = state.lender.stage == PartStage::Held && state.left.moves > 0;
        if is_held && state.lender.start_wait == 0 && (state.lender.lent.is_none() || early) {
            let mut after = state.clone();
            after.left.moves -= 1;
            after.lender.stage = PartStage::Releasing;
            after.lender.level = 0;
            next.push((LimitStep::Release, after));
        }
        if is_held {
            let mut after = state.clone();
            after.left.moves -= 1;
            after.lender.stage = PartStage::Gone;
            after.lender.level = 0;
            after.lender.lent = None;
            after.lender.start_wait = 0;
            let at_once = self.mutation == LimitMutation::RemoveWithoutHoldOff;
            after.lender.hold_off = if at_once { 0 } else { HOLD_OFF };
            next.push((LimitStep::Stop, after));
        }
        // A release may land after its sender has given up waiting for it.
        let released = state.lender.stage != PartStage::Gone && state.left.moves == 0;
        if released && !state.moved {
            let mut after = state.clone();
            after.moved = true;
            next.push((LimitStep::LandRelease, after));
        }
        let unknown = self.mutation == LimitMutation::ResumeOnUnknown;
        if state.lender.stage == PartStage::Releasing && unknown && !state.moved {
            let mut after = state.clone();
            after.lender.stage = PartStage::Held;
            next.push((LimitStep::Resume, after));
        }
        let removable = state.lender.stage == PartStage::Gone && state.lender.hold_off == 0;
        if removable && !state.moved {
            let mut after = state.clone();
            after.moved = true;
            next.push((LimitStep::Remove, after));
        }
        if state.moved && !state.home.owns_both {
            let mut after = state.clone();
            after.home.owns_both = true;
            next.push((LimitStep::LearnMove, after));
        }
    }

    fn restart_steps(&self, state: &LimitState, next: &mut NextStates) {
        if state.left.restarts == 0 || state.lender.stage != PartStage::Held {
            return;
        }
        let mut after = state.clone();
        after.left.restarts -= 1;
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
