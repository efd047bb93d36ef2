//! Capacity and refill of the parts, and the effects of a tick.

use super::mutation::LimitMutation;
use super::state::{
    LenderState, LimitState, NEVER, OwnerState, PART_BURST, PART_RATE, PARTS, PartStage,
};
use super::step::LimitModel;

impl LimitModel {
    /// Returns whether the lender may use its part.
    pub(super) fn uses_part(&self, lender: &LenderState) -> bool {
        let keeps = self.mutation == LimitMutation::KeepLentSlice;
        lender.stage == PartStage::Held
            && lender.start_wait == 0
            && (lender.lent.is_none() || keeps)
    }

    /// Returns the owner's capacity, in tokens, and its refill, in tokens per tick.
    pub(super) fn owner_size(&self, owner: &OwnerState) -> (u8, u8) {
        let parts = 1 + u8::from(owner.borrowed.is_some()) + u8::from(owner.owns_both);
        let ignores_hold = self.mutation == LimitMutation::ReserveWithoutHold;
        let held = owner.admitted.filter(|_| !ignores_hold);
        let held = held.map_or(0, |admission| admission.cost);
        let capacity = (parts * PART_BURST).saturating_sub(held);
        (capacity, parts * PART_RATE)
    }

    /// Returns the state after a tick, which the owner's clock may miss.
    pub(super) fn tick(&self, state: &LimitState, missed_by_owner: bool) -> LimitState {
        let mut after = state.clone();
        let burst = PARTS * PART_BURST;
        after.reference = (after.reference + PARTS * PART_RATE).min(burst);
        self.advance_lender(&mut after.lender);
        let (capacity, rate) = self.owner_size(&after.owner);
        after.owner.level = (after.owner.level + rate).min(capacity);
        if !missed_by_owner {
            self.advance_owner(&mut after.owner);
        }
        after
    }

    fn advance_lender(&self, lender: &mut LenderState) {
        if self.uses_part(lender) {
            lender.level = (lender.level + PART_RATE).min(PART_BURST);
        }
        lender.start_wait = lender.start_wait.saturating_sub(1);
        lender.hold_off = lender.hold_off.saturating_sub(1);
        if let Some((left, _)) = &mut lender.lent {
            *left = left.saturating_sub(1);
            if *left == 0 {
                lender.lent = None;
                if self.mutation == LimitMutation::ReclaimFull {
                    lender.level = PART_BURST;
                }
            }
        }
    }

    fn advance_owner(&self, owner: &mut OwnerState) {
        for left in owner.polls.values_mut() {
            *left = left.saturating_sub(1);
        }
        if let Some((left, _)) = &mut owner.borrowed
            && self.mutation != LimitMutation::KeepExpiredPartLoans
        {
            *left = left.saturating_sub(1);
            if *left == 0 {
                owner.borrowed = None;
            }
        }
        if let Some(admission) = &mut owner.admitted
            && admission.ticks_left != NEVER
        {
            admission.ticks_left = admission.ticks_left.saturating_sub(1);
            if admission.ticks_left == 0 && self.mutation != LimitMutation::ActLate {
                owner.admitted = None;
            }
        }
        let (capacity, _) = self.owner_size(owner);
        owner.level = owner.level.min(capacity);
    }
}

/// Takes tokens from the reference bucket and records an overspend.
pub(super) fn spend(state: &mut LimitState, cost: u8) {
    state.overspent |= state.reference < cost;
    state.reference = state.reference.saturating_sub(cost);
}
