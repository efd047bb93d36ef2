//! Capacities, refills and what time does to them.

use super::mutation::LimitMutation;
use super::state::{
    HomeState, LenderState, LimitState, NEVER, PART_BURST, PART_RATE, PARTS, PartStage,
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

    /// Returns the home's capacity and refill.
    pub(super) fn home_size(&self, home: &HomeState) -> (u8, u8) {
        let parts = 1 + u8::from(home.borrowed.is_some()) + u8::from(home.owns_both);
        let forgets = self.mutation == LimitMutation::ForgetHolds;
        let held = home.admitted.filter(|_| !forgets);
        let held = held.map_or(0, |admission| admission.cost);
        let capacity = (parts * PART_BURST).saturating_sub(held);
        (capacity, parts * PART_RATE)
    }

    /// Lets a tick pass; `slow` when the home's clock does not count it.
    pub(super) fn tick(&self, state: &LimitState, slow: bool) -> LimitState {
        let mut after = state.clone();
        let whole = PARTS * PART_BURST;
        after.reference = (after.reference + PARTS * PART_RATE).min(whole);
        self.pass_lender_time(&mut after.lender);
        let (capacity, rate) = self.home_size(&after.home);
        after.home.level = (after.home.level + rate).min(capacity);
        if !slow {
            self.pass_home_time(&mut after.home);
        }
        after
    }

    fn pass_lender_time(&self, lender: &mut LenderState) {
        if self.uses_part(lender) {
            lender.level = (lender.level + PART_RATE).min(PART_BURST);
        }
        lender.start_wait = lender.start_wait.saturating_sub(1);
        lender.hold_off = lender.hold_off.saturating_sub(1);
        if let Some((left, _)) = &mut lender.lent {
            *left = left.saturating_sub(1);
            if *left == 0 {
                lender.lent = None;
                if self.mutation == LimitMutation::ResumeFull {
                    lender.level = PART_BURST;
                }
            }
        }
    }

    fn pass_home_time(&self, home: &mut HomeState) {
        for left in home.polls.values_mut() {
            *left = left.saturating_sub(1);
        }
        if let Some((left, _)) = &mut home.borrowed
            && self.mutation != LimitMutation::KeepLapsedLoans
        {
            *left = left.saturating_sub(1);
            if *left == 0 {
                home.borrowed = None;
            }
        }
        if let Some(admission) = &mut home.admitted
            && admission.left != NEVER
        {
            admission.left = admission.left.saturating_sub(1);
            if admission.left == 0 && self.mutation != LimitMutation::ActLate {
                home.admitted = None;
            }
        }
        let (capacity, _) = self.home_size(home);
        home.level = home.level.min(capacity);
    }
}

/// Takes tokens from the reference bucket.
pub(super) fn spend(state: &mut LimitState, cost: u8) {
    state.overspent |= state.reference < cost;
    state.reference = state.reference.saturating_sub(cost);
}
