//! Room for a copy: free, or made by removing other copies.

use super::CopyState;
use super::board::{Board, held_elsewhere};
use std::collections::BTreeSet;

/// A place for a copy and what must go for it.
#[derive(Debug, Clone)]
pub(super) struct RoomChoice {
    pub(super) seat: usize,
    /// Model and copy index of each copy that must go.
    pub(super) removed: Vec<(usize, usize)>,
    /// Load lost by the removals, weighted.
    pub(super) loss: f64,
}

impl Board<'_> {
    /// Returns whether a model may be placed at a seat.
    pub(super) fn may_sit(&self, model: usize, seat: usize) -> bool {
        let entry = &self.models[model];
        let spot = &self.seats[seat];
        spot.accepting
            && spot.memory >= entry.footprint
            && !entry.forbidden.contains_key(&seat)
            && !entry
                .copies
                .iter()
                .any(|copy| copy.seat == seat && entry.is_current(copy))
    }

    /// Returns whether a copy may go without harm.
    pub(super) fn removable(&self, model: usize, copy: usize) -> bool {
        let entry = &self.models[model];
        let target = &entry.copies[copy];
        let spot = &self.seats[target.seat];
        if !spot.accepting || target.state != CopyState::Ready {
            return false;
        }
        if entry.pins.contains_key(&target.seat) && entry.is_current(target) {
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
            .map(|(_, other)| other.seat)
            .collect();
        let required = usize::try_from(entry.required).unwrap_or(usize::MAX);
        others.len() >= required && (others.is_empty() || self.adapters_stay(model, copy, &others))
    }

    fn counts_as_ready(&self, state: CopyState) -> bool {
        match state {
            CopyState::Ready => true,
            CopyState::Arriving => self.problem.arriving_counts_as_ready,
            CopyState::Leaving => false,
        }
    }

    fn adapters_stay(&self, model: usize, copy: usize, others: &BTreeSet<usize>) -> bool {
        let entry = &self.models[model];
        let held = self.seats[entry.copies[copy].seat].adapters;
        entry
            .adapters
            .iter()
            .filter(|adapter| held.contains_key(**adapter))
            .all(|adapter| held_elsewhere(self, adapter, others))
    }

    /// Returns what must go from a seat to make room, the least loss first.
    pub(super) fn make_room(&self, model: usize, seat: usize) -> Option<RoomChoice> {
        let spot = &self.seats[seat];
        let footprint = self.models[model].footprint;
        let mut choice = RoomChoice {
            seat,
            removed: Vec::new(),
            loss: 0.0,
        };
        if spot.later >= footprint {
            return Some(choice);
        }
        let mut room = spot.later;
        for (loss, other, copy) in self.candidates(model, seat) {
            room += self.released_memory(other, copy);
            choice.loss += loss;
            choice.removed.push((other, copy));
            if room >= footprint {
                self.drop_needless(&mut choice, room - footprint);
                return Some(choice);
            }
        }
        None
    }

    /// Returns the removable copies at a seat, the least loss first.
    fn candidates(&self, model: usize, seat: usize) -> Vec<(f64, usize, usize)> {
        let mut candidates: Vec<(f64, usize, usize)> = Vec::new();
        let mut seen: BTreeSet<usize> = BTreeSet::new();
        for &other in &self.seats[seat].models {
            if other == model || !seen.insert(other) {
                continue;
            }
            for (index, copy) in self.models[other].copies.iter().enumerate() {
                if copy.seat == seat && self.removable(other, index) {
                    candidates.push((self.loss(other, index), other, index));
                }
            }
        }
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
        candidates
    }

    /// Keeps copies that turned out not to be in the way.
    fn drop_needless(&self, choice: &mut RoomChoice, mut excess: u64) {
        let removed = std::mem::take(&mut choice.removed);
        for (other, copy) in removed.into_iter().rev() {
            let released = self.released_memory(other, copy);
            if released <= excess {
                excess -= released;
                choice.loss -= self.loss(other, copy);
            } else {
                choice.removed.push((other, copy));
            }
        }
    }

    /// Returns the seat that costs least, and then has most left to give.
    pub(super) fn cheapest_room(&self, model: usize) -> Option<RoomChoice> {
        let mut best: Option<RoomChoice> = None;
        for seat in 0..self.seats.len() {
            if !self.may_sit(model, seat) {
                continue;
            }
            let Some(choice) = self.make_room(model, seat) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|held| self.is_better(&choice, held))
            {
                best = Some(choice);
            }
        }
        best
    }

    fn is_better(&self, choice: &RoomChoice, held: &RoomChoice) -> bool {
        let rank = |choice: &RoomChoice| {
            let seat = &self.seats[choice.seat];
            let wait = u32::from(choice.removed.is_empty() && seat.free < seat.later);
            (choice.removed.len(), choice.loss, wait, -seat.remaining)
        };
        rank(choice) < rank(held)
    }
}
