//! Stepping stones: a last copy goes elsewhere first, so that its room can be
//! used.

use super::draft::DraftPlacement;
use super::{CopyState, MoveReason};

/// Copies that must first get a second home, to make room at one seat.
struct RelocationPlan {
    /// Model that moves, and its new seat; none while its new copy arrives.
    relocations: Vec<(usize, Option<usize>)>,
}

impl DraftPlacement<'_> {
    /// Starts or goes on with making room by stepping stones.
    ///
    /// Returns whether there is a way.
    pub(super) fn relocate_for(&mut self, model: usize) -> bool {
        let best = (0..self.slots.len())
            .filter(|&slot| self.may_place(model, slot))
            .filter_map(|slot| self.relocation_plan(model, slot))
            .min_by_key(|path| {
                let new = path
                    .relocations
                    .iter()
                    .filter(|stone| stone.1.is_some())
                    .count();
                (new, path.relocations.len())
            });
        let Some(path) = best else {
            return false;
        };
        let id = self.models[model].id.clone();
        for (stone, target) in path.relocations {
            if let Some(target) = target {
                self.place(stone, target, MoveReason::Relocation(id.clone()));
            }
        }
        true
    }

    fn relocation_plan(&self, model: usize, slot: usize) -> Option<RelocationPlan> {
        let footprint = self.models[model].footprint;
        let mut free = self.slots[slot].free_after_unloads;
        let mut blocking = Vec::new();
        for &other in &self.slots[slot].models {
            for (index, copy) in self.models[other].copies.iter().enumerate() {
                if copy.slot != slot || other == model || copy.state != CopyState::Ready {
                    continue;
                }
                if self.removable(other, index) {
                    free += self.released_memory(other, index);
                } else if !self.models[other].pins.contains_key(&slot) {
                    blocking.push((self.released_memory(other, index), other));
                }
            }
        }
        blocking.sort_unstable();
        let mut taken = vec![0; self.slots.len()];
        let mut relocations = Vec::new();
        for (released, other) in blocking {
            if free >= footprint {
                break;
            }
            let Some(target) = self.relocation_target(other, slot, &mut taken) else {
                continue;
            };
            free += released;
            relocations.push((other, target));
        }
        (free >= footprint).then_some(RelocationPlan { relocations })
    }

    /// Finds a second home; `Some(None)` when one is already on its way.
    fn relocation_target(
        &self,
        model: usize,
        from: usize,
        taken: &mut [u64],
    ) -> Option<Option<usize>> {
        let entry = &self.models[model];
        let elsewhere = entry.copies.iter().any(|copy| {
            copy.slot != from && entry.is_current(copy) && copy.state != CopyState::Leaving
        });
        if elsewhere {
            return Some(None);
        }
        let target = (0..self.slots.len())
            .filter(|&slot| slot != from && self.may_place(model, slot))
            .find(|&slot| self.slots[slot].free_after_unloads >= entry.footprint + taken[slot])?;
        taken[target] += entry.footprint;
        Some(Some(target))
    }
}
