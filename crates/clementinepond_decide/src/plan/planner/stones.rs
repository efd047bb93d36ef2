//! Stepping stones: a last copy goes elsewhere first, so that its room can be
//! used.

use super::board::Board;
use super::{CopyState, MoveReason};

/// Copies that must first get a second home, to make room at one seat.
struct StonePath {
    /// Model that moves, and its new seat; none while its new copy arrives.
    stones: Vec<(usize, Option<usize>)>,
}

impl Board<'_> {
    /// Starts or goes on with making room by stepping stones.
    ///
    /// Returns whether there is a way.
    pub(super) fn step_aside(&mut self, model: usize) -> bool {
        let best = (0..self.seats.len())
            .filter(|&seat| self.may_sit(model, seat))
            .filter_map(|seat| self.stone_path(model, seat))
            .min_by_key(|path| {
                let new = path.stones.iter().filter(|stone| stone.1.is_some()).count();
                (new, path.stones.len())
            });
        let Some(path) = best else {
            return false;
        };
        let id = self.models[model].id.clone();
        for (stone, target) in path.stones {
            if let Some(target) = target {
                self.place(stone, target, MoveReason::SteppingStone(id.clone()));
            }
        }
        true
    }

    fn stone_path(&self, model: usize, seat: usize) -> Option<StonePath> {
        let footprint = self.models[model].footprint;
        let mut room = self.seats[seat].later;
        let mut stuck = Vec::new();
        for &other in &self.seats[seat].models {
            for (index, copy) in self.models[other].copies.iter().enumerate() {
                if copy.seat != seat || other == model || copy.state != CopyState::Ready {
                    continue;
                }
                if self.removable(other, index) {
                    room += self.released_memory(other, index);
                } else if !self.models[other].pins.contains_key(&seat) {
                    stuck.push((self.released_memory(other, index), other));
                }
            }
        }
        stuck.sort_unstable();
        let mut taken = vec![0; self.seats.len()];
        let mut stones = Vec::new();
        for (released, other) in stuck {
            if room >= footprint {
                break;
            }
            let Some(target) = self.stone_target(other, seat, &mut taken) else {
                continue;
            };
            room += released;
            stones.push((other, target));
        }
        (room >= footprint).then_some(StonePath { stones })
    }

    /// Finds a second home; `Some(None)` when one is already on its way.
    fn stone_target(&self, model: usize, from: usize, taken: &mut [u64]) -> Option<Option<usize>> {
        let entry = &self.models[model];
        let elsewhere = entry.copies.iter().any(|copy| {
            copy.seat != from && entry.is_current(copy) && copy.state != CopyState::Leaving
        });
        if elsewhere {
            return Some(None);
        }
        let target = (0..self.seats.len())
            .filter(|&seat| seat != from && self.may_sit(model, seat))
            .find(|&seat| self.seats[seat].later >= entry.footprint + taken[seat])?;
        taken[target] += entry.footprint;
        Some(Some(target))
    }
}
