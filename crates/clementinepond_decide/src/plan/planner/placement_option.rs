//! Memory for a copy: free, or freed by unloading other copies.

use super::CopyState;
use super::draft::{DraftPlacement, is_ready_on};
use std::collections::BTreeSet;

/// Slot for a copy and the copies to unload for it.
#[derive(Debug, Clone)]
pub(super) struct PlacementOption {
    pub(super) slot: usize,
    /// Model index and copy index of each copy to unload.
    pub(super) removed: Vec<(usize, usize)>,
    /// Weighted load lost by the removals, in thousandths of an accelerator.
    pub(super) removal_loss: f64,
}

impl DraftPlacement<'_> {
    /// Returns whether a model may be placed on an endpoint.
    ///
    /// The endpoint must accept orders, be large enough when empty, not be
    /// forbidden and not hold the wanted version.
    pub(super) fn may_place(&self, model: usize, slot: usize) -> bool {
        let entry = &self.models[model];
        let endpoint = &self.slots[slot];
        endpoint.accepting
            && endpoint.memory >= entry.footprint
            && !entry.forbidden.contains_key(&slot)
            && !entry
                .copies
                .iter()
                .any(|copy| copy.slot == slot && entry.is_current(copy))
    }

    /// Returns whether a copy may be unloaded.
    ///
    /// It must be ready and not pinned, and the endpoints with other ready copies
    /// must be at least as many as required and hold all of its adapters. Its own
    /// endpoint counts if another version is ready there. A model of which
    /// no copy is required may lose its only ready copy, adapters included.
    pub(super) fn removable(&self, model: usize, copy: usize) -> bool {
        let entry = &self.models[model];
        let target = &entry.copies[copy];
        let endpoint = &self.slots[target.slot];
        if !endpoint.accepting || target.state != CopyState::Ready {
            return false;
        }
        if entry.pins.contains_key(&target.slot) && entry.is_current(target) {
            return false;
        }
        if self.problem.last_copy_unprotected {
            return true;
        }
        let others: BTreeSet<usize> = entry
            .copies
            .iter()
            .enumerate()
            .filter(|(index, other)| *index != copy && self.counts_as_ready(other.state))
            .map(|(_, other)| other.slot)
            .collect();
        let required = usize::try_from(entry.required).unwrap_or(usize::MAX);
        others.len() >= required
            && (others.is_empty() || self.adapters_ready_elsewhere(model, copy, &others))
    }

    fn counts_as_ready(&self, state: CopyState) -> bool {
        match state {
            CopyState::Ready => true,
            CopyState::Arriving => self.problem.arriving_counts_as_ready,
            CopyState::Leaving => false,
        }
    }

    fn adapters_ready_elsewhere(
        &self,
        model: usize,
        copy: usize,
        others: &BTreeSet<usize>,
    ) -> bool {
        let entry = &self.models[model];
        let held = self.slots[entry.copies[copy].slot].adapters;
        entry
            .adapters
            .iter()
            .filter(|adapter| held.contains_key(**adapter))
            .all(|adapter| is_ready_on(self, adapter, others))
    }

    /// Returns the copies to unload so that a model fits on an endpoint; none if
    /// unloading every removable copy is not enough.
    ///
    /// Copies are chosen in ascending order of loss.
    pub(super) fn option_at(&self, model: usize, slot: usize) -> Option<PlacementOption> {
        let endpoint = &self.slots[slot];
        let footprint = self.models[model].footprint;
        let mut option = PlacementOption {
            slot,
            removed: Vec::new(),
            removal_loss: 0.0,
        };
        if endpoint.free_after_unloads >= footprint {
            return Some(option);
        }
        let mut free = endpoint.free_after_unloads;
        for (removal_loss, other, copy) in self.removal_candidates(model, slot) {
            free += self.released_memory(other, copy);
            option.removal_loss += removal_loss;
            option.removed.push((other, copy));
            if free >= footprint {
                self.trim_removals(&mut option, free - footprint);
                return Some(option);
            }
        }
        None
    }

    /// Returns loss, model index and copy index of each removable copy on an
    /// endpoint, in ascending order of loss.
    fn removal_candidates(&self, model: usize, slot: usize) -> Vec<(f64, usize, usize)> {
        let mut candidates: Vec<(f64, usize, usize)> = Vec::new();
        let mut seen: BTreeSet<usize> = BTreeSet::new();
        for &other in &self.slots[slot].models {
            if other == model || !seen.insert(other) {
                continue;
            }
            for (index, copy) in self.models[other].copies.iter().enumerate() {
                if copy.slot == slot && self.removable(other, index) {
                    candidates.push((self.removal_loss(other, index), other, index));
                }
            }
        }
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
        candidates
    }

    /// Keeps copies whose memory is not needed, starting with the largest loss.
    fn trim_removals(&self, option: &mut PlacementOption, mut excess: u64) {
        let removed = std::mem::take(&mut option.removed);
        for (other, copy) in removed.into_iter().rev() {
            let released = self.released_memory(other, copy);
            if released <= excess {
                excess -= released;
                option.removal_loss -= self.removal_loss(other, copy);
            } else {
                option.removed.push((other, copy));
            }
        }
    }

    /// Returns the option with the fewest removals, then the least loss.
    ///
    /// Among equals, memory that is free now comes before memory that is still
    /// being freed, and then the endpoint with the most remaining capacity wins.
    pub(super) fn cheapest_option(&self, model: usize) -> Option<PlacementOption> {
        let mut best: Option<PlacementOption> = None;
        for slot in 0..self.slots.len() {
            if !self.may_place(model, slot) {
                continue;
            }
            let Some(option) = self.option_at(model, slot) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|best| self.is_better(&option, best))
            {
                best = Some(option);
            }
        }
        best
    }

    fn is_better(&self, option: &PlacementOption, best: &PlacementOption) -> bool {
        let rank = |option: &PlacementOption| {
            let slot = &self.slots[option.slot];
            let wait = u32::from(option.removed.is_empty() && slot.free < slot.free_after_unloads);
            (
                option.removed.len(),
                option.removal_loss,
                wait,
                -slot.remaining_capacity,
            )
        };
        rank(option) < rank(best)
    }
}
