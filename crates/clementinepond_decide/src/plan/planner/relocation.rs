//! Relocation: loads another copy of a model elsewhere first, so that its last
//! copy can be unloaded and frees memory.

use super::draft::DraftPlacement;
use super::{CopyState, MoveReason};

/// Models that need a copy elsewhere before one endpoint has enough free memory.
struct RelocationPlan {
    /// Model to relocate and the slot for its new copy; none if another copy of
    /// the wanted version already exists or is arriving.
    relocations: Vec<(usize, Option<usize>)>,
}

impl DraftPlacement<'_> {
    /// Starts or continues to free memory for a model by relocating others.
    ///
    /// Prefers the endpoint that needs the fewest new copies. Returns whether
    /// any endpoint can be freed.
    pub(super) fn relocate_for(&mut self, model: usize) -> bool {
        let best = (0..self.slots.len())
            .filter(|&slot| self.may_place(model, slot))
            .filter_map(|slot| self.relocation_plan(model, slot))
            .min_by_key(|plan| {
                let new = plan
                    .relocations
                    .iter()
                    .filter(|relocation| relocation.1.is_some())
                    .count();
                (new, plan.relocations.len())
            });
        let Some(plan) = best else {
            return false;
        };
        let id = self.models[model].id.clone();
        for (relocated, target) in plan.relocations {
            if let Some(target) = target {
                self.place(relocated, target, MoveReason::Relocation(id.clone()));
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

    /// Returns the slot for another copy; `Some(None)` if the model already has
    /// one elsewhere, and none if no endpoint has enough free memory.
    ///
    /// `taken` is the memory promised to other relocations, by slot.
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
