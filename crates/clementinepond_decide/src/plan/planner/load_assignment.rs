//! Assignment of each model's load to its copies.
//!
//! Models with few copies are assigned first, since models with many copies can
//! use other endpoints. A model's load is spread over its copies in proportion to
//! the load that each can still take: the lesser of the copy's limit and the
//! endpoint's remaining capacity.

use super::CopyState;
use super::draft::DraftPlacement;

/// Lower bound of the share of an endpoint's capacity that interference between
/// models leaves.
const MIN_CAPACITY_SHARE: f64 = 0.6;

impl DraftPlacement<'_> {
    /// Assigns the load of every model.
    ///
    /// The second pass uses capacity that the first one left.
    pub(super) fn assign_load(&mut self) {
        self.apply_interference();
        for model in &mut self.models {
            model.deficit = model.load;
        }
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by_key(|&index| self.models[index].copies.len());
        for &index in &order {
            self.spread_deficit(index);
        }
        for &index in &order {
            self.spread_deficit(index);
        }
    }

    fn apply_interference(&mut self) {
        let loss = f64::from(self.problem.tuning.interference_percent) / 100.0;
        for slot in &mut self.slots {
            let busy = slot
                .models
                .iter()
                .filter(|&&index| self.models[index].load > 0.0)
                .count();
            let others = u32::try_from(busy.saturating_sub(1)).unwrap_or(u32::MAX);
            let share = (1.0 - loss * f64::from(others)).max(MIN_CAPACITY_SHARE);
            slot.capacity *= share;
            slot.remaining_capacity = slot.capacity;
        }
    }

    /// Spreads a model's unserved load over the copies that are not leaving.
    pub(super) fn spread_deficit(&mut self, model: usize) {
        let entry = &mut self.models[model];
        let limit = entry.need.replica_limit;
        let spare =
            |load: f64, remaining_capacity: f64| (limit - load).min(remaining_capacity).max(0.0);
        let total: f64 = entry
            .copies
            .iter()
            .filter(|copy| copy.state != CopyState::Leaving)
            .map(|copy| spare(copy.load, self.slots[copy.slot].remaining_capacity))
            .sum();
        if total <= 0.0 || entry.deficit <= 0.0 {
            return;
        }
        let share = (entry.deficit / total).min(1.0);
        for copy in &mut entry.copies {
            if copy.state == CopyState::Leaving {
                continue;
            }
            let slot = &mut self.slots[copy.slot];
            let taken = spare(copy.load, slot.remaining_capacity) * share;
            copy.load += taken;
            slot.remaining_capacity -= taken;
            entry.deficit -= taken;
        }
    }

    /// Assigns a model's unserved load to a new copy, within the copy's limit and
    /// the endpoint's remaining capacity.
    pub(super) fn assign_to_new_copy(&mut self, model: usize, copy: usize) {
        let entry = &mut self.models[model];
        let target = &mut entry.copies[copy];
        let slot = &mut self.slots[target.slot];
        let taken = entry
            .deficit
            .min(entry.need.replica_limit - target.load)
            .min(slot.remaining_capacity)
            .max(0.0);
        target.load += taken;
        slot.remaining_capacity -= taken;
        entry.deficit -= taken;
    }

    /// Returns the weighted load lost by removing a copy.
    ///
    /// This is the load that the other copies cannot take over now, plus a share
    /// of the recent peak, for which the copy may be needed again.
    pub(super) fn removal_loss(&self, model: usize, copy: usize) -> f64 {
        let entry = &self.models[model];
        let others = || {
            entry
                .copies
                .iter()
                .enumerate()
                .filter(|(index, other)| *index != copy && other.state != CopyState::Leaving)
        };
        let spare: f64 = others()
            .map(|(_, other)| {
                (entry.need.replica_limit - other.load)
                    .min(self.slots[other.slot].remaining_capacity)
                    .max(0.0)
            })
            .sum();
        let count = u32::try_from(others().count() + 1).unwrap_or(u32::MAX);
        let recent_peak = entry.need.recent_peak / f64::from(count);
        let penalty = f64::from(self.problem.tuning.removal_penalty_percent) / 100.0;
        let lost = (entry.copies[copy].load - spare).max(0.0);
        (lost + penalty * recent_peak) * entry.weight
    }
}
