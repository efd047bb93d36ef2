//! Load of each copy.
//!
//! Models with few copies choose first, since models with many can turn
//! elsewhere. A model's load is spread over its copies in proportion to what
//! their endpoints have left.

use super::CopyState;
use super::board::Board;

/// Smallest share of an endpoint that interference leaves.
const INTERFERENCE_FLOOR: f64 = 0.6;

impl Board<'_> {
    /// Assigns the load of every model.
    pub(super) fn assign(&mut self) {
        self.apply_interference();
        for model in &mut self.models {
            model.deficit = model.load;
        }
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by_key(|&index| self.models[index].copies.len());
        for &index in &order {
            self.spread(index);
        }
        for &index in &order {
            self.spread(index);
        }
    }

    fn apply_interference(&mut self) {
        let loss = f64::from(self.problem.tuning.interference_percent) / 100.0;
        for seat in &mut self.seats {
            let busy = seat
                .models
                .iter()
                .filter(|&&index| self.models[index].load > 0.0)
                .count();
            let others = u32::try_from(busy.saturating_sub(1)).unwrap_or(u32::MAX);
            let share = (1.0 - loss * f64::from(others)).max(INTERFERENCE_FLOOR);
            seat.capacity *= share;
            seat.remaining = seat.capacity;
        }
    }

    /// Spreads what a model still lacks over its copies.
    pub(super) fn spread(&mut self, model: usize) {
        let entry = &mut self.models[model];
        let limit = entry.need.replica_limit;
        let spare = |load: f64, remaining: f64| (limit - load).min(remaining).max(0.0);
        let total: f64 = entry
            .copies
            .iter()
            .filter(|copy| copy.state != CopyState::Leaving)
            .map(|copy| spare(copy.load, self.seats[copy.seat].remaining))
            .sum();
        if total <= 0.0 || entry.deficit <= 0.0 {
            return;
        }
        let share = (entry.deficit / total).min(1.0);
        for copy in &mut entry.copies {
            if copy.state == CopyState::Leaving {
                continue;
            }
            let seat = &mut self.seats[copy.seat];
            let taken = spare(copy.load, seat.remaining) * share;
            copy.load += taken;
            seat.remaining -= taken;
            entry.deficit -= taken;
        }
    }

    /// Gives a new copy what its model still lacks.
    pub(super) fn carry(&mut self, model: usize, copy: usize) {
        let entry = &mut self.models[model];
        let target = &mut entry.copies[copy];
        let seat = &mut self.seats[target.seat];
        let taken = entry
            .deficit
            .min(entry.need.replica_limit - target.load)
            .min(seat.remaining)
            .max(0.0);
        target.load += taken;
        seat.remaining -= taken;
        entry.deficit -= taken;
    }

    /// Returns the load that is lost if a copy goes: what the other copies
    /// cannot take over now, and a part of what it may be needed for again.
    pub(super) fn loss(&self, model: usize, copy: usize) -> f64 {
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
                    .min(self.seats[other.seat].remaining)
                    .max(0.0)
            })
            .sum();
        let count = u32::try_from(others().count() + 1).unwrap_or(u32::MAX);
        let held = entry.need.held / f64::from(count);
        let regret = f64::from(self.problem.tuning.regret_percent) / 100.0;
        let lost = (entry.copies[copy].load - spare).max(0.0);
        (lost + regret * held) * entry.weight
    }
}
