//! The draft placement, with endpoints and models under dense indices.

use super::{
    CopyState, HoldingView, ModelNeed, MoveBudget, MoveReason, PlanOutcome, PlanProblem,
    PlannedMove, UnplacedItem, UnplacedReason,
};
use crate::plan::{EndpointAction, ExceptionRule, ModelVersion};
use clementinepond_types::{AdapterId, EndpointId, ModelId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

const MILLI_PER_ACCELERATOR: f64 = 1_000.0;

/// Copy of a model in the draft; its load is in thousandths of an accelerator.
#[derive(Debug, Clone)]
pub(super) struct DraftCopy {
    pub(super) slot: usize,
    pub(super) state: CopyState,
    pub(super) version: ModelVersion,
    pub(super) load: f64,
}

/// Endpoint in the draft; its index in the draft is its slot number.
///
/// Memory is in MiB, capacity in thousandths of an accelerator.
#[derive(Debug)]
pub(super) struct EndpointSlot<'a> {
    pub(super) id: &'a EndpointId,
    pub(super) accepting: bool,
    pub(super) memory: u64,
    /// Memory that is free even if every pending and planned load takes effect.
    pub(super) free: u64,
    /// Memory that is free once all leaving copies are unloaded and all planned
    /// loads are done.
    pub(super) free_after_unloads: u64,
    pub(super) capacity: f64,
    pub(super) remaining_capacity: f64,
    pub(super) models: Vec<usize>,
    pub(super) adapters: &'a BTreeMap<AdapterId, CopyState>,
}

/// Hosted model in the draft; loads are in thousandths of an accelerator.
#[derive(Debug)]
pub(super) struct DraftModel<'a> {
    pub(super) id: &'a ModelId,
    pub(super) need: &'a ModelNeed,
    pub(super) adapters: Vec<&'a AdapterId>,
    /// Memory of a copy with all its adapters, in MiB.
    pub(super) footprint: u64,
    /// Forecast load with headroom.
    pub(super) load: f64,
    /// Load that no copy serves.
    pub(super) deficit: f64,
    /// Factor of the load in comparisons between models: 1 to 2, by priority.
    pub(super) weight: f64,
    pub(super) required: u32,
    /// Reasons of the exceptions that require a copy, by slot.
    pub(super) pins: BTreeMap<usize, &'a str>,
    /// Reasons of the exceptions that forbid a copy, by slot.
    pub(super) forbidden: BTreeMap<usize, &'a str>,
    pub(super) copies: Vec<DraftCopy>,
}

impl DraftModel<'_> {
    pub(super) fn is_current(&self, copy: &DraftCopy) -> bool {
        copy.version == self.need.version
    }

    pub(super) fn has_copy_on(&self, slot: usize) -> bool {
        self.copies.iter().any(|copy| copy.slot == slot)
    }

    /// Returns the number of ready and arriving copies of the wanted version.
    pub(super) fn current_copies(&self) -> usize {
        self.copies
            .iter()
            .filter(|copy| self.is_current(copy) && copy.state != CopyState::Leaving)
            .count()
    }
}

/// The placement while it is being planned: current copies and planned changes.
pub(super) struct DraftPlacement<'a> {
    pub(super) problem: &'a PlanProblem,
    pub(super) slots: Vec<EndpointSlot<'a>>,
    pub(super) models: Vec<DraftModel<'a>>,
    pub(super) index: BTreeMap<&'a ModelId, usize>,
    pub(super) budget: MoveBudget,
    pub(super) outcome: PlanOutcome,
}

impl<'a> DraftPlacement<'a> {
    pub(super) fn new(problem: &'a PlanProblem) -> Self {
        let slots: Vec<_> = problem.endpoints.keys().collect();
        let slot_index: BTreeMap<_, _> = slots.iter().enumerate().map(|(i, id)| (*id, i)).collect();
        let mut draft = Self {
            problem,
            slots: build_slots(problem),
            models: build_models(problem),
            index: problem
                .models
                .keys()
                .enumerate()
                .map(|(i, id)| (id, i))
                .collect(),
            budget: problem.budget,
            outcome: PlanOutcome::default(),
        };
        draft.add_exceptions(&slot_index);
        draft.add_copies();
        draft
    }

    fn add_exceptions(&mut self, slots: &BTreeMap<&EndpointId, usize>) {
        for exception in &self.problem.exceptions {
            let Some(&index) = self.index.get(&exception.model) else {
                continue;
            };
            let model = &mut self.models[index];
            match &exception.rule {
                ExceptionRule::Pin { endpoint } => {
                    if let Some(&slot) = slots.get(endpoint) {
                        model.pins.insert(slot, &exception.reason);
                    }
                }
                ExceptionRule::Forbid { endpoint } => {
                    if let Some(&slot) = slots.get(endpoint) {
                        model.forbidden.insert(slot, &exception.reason);
                    }
                }
                ExceptionRule::MinReplicas { count } => {
                    model.required = model.required.max(*count);
                }
            }
        }
    }

    fn add_copies(&mut self) {
        for (slot, view) in self.problem.endpoints.values().enumerate() {
            for holding in &view.holdings {
                self.add_copy(slot, holding);
            }
        }
    }

    fn add_copy(&mut self, slot: usize, holding: &HoldingView) {
        if holding.state == CopyState::Leaving {
            self.slots[slot].free_after_unloads += holding.memory.get();
        }
        let Some(&index) = self.index.get(&holding.model) else {
            return;
        };
        self.slots[slot].models.push(index);
        self.models[index].copies.push(DraftCopy {
            slot,
            state: holding.state,
            version: holding.version.clone(),
            load: 0.0,
        });
    }

    /// Adds a copy.
    ///
    /// Becomes a move if free memory and the load budget allow it now, and a goal
    /// otherwise.
    pub(super) fn place(&mut self, model: usize, slot: usize, reason: MoveReason) {
        let entry = &mut self.models[model];
        let footprint = entry.footprint;
        let planned = PlannedMove {
            endpoint: self.slots[slot].id.clone(),
            action: EndpointAction::LoadModel {
                model: entry.id.clone(),
                version: entry.need.version.clone(),
                memory_mib: entry.need.memory,
            },
            reason,
        };
        entry.copies.push(DraftCopy {
            slot,
            state: CopyState::Arriving,
            version: entry.need.version.clone(),
            load: 0.0,
        });
        let endpoint = &mut self.slots[slot];
        if self.budget.loads > 0 && endpoint.free >= footprint {
            self.budget.loads -= 1;
            endpoint.free -= footprint;
            self.outcome.moves.push(planned);
        } else {
            self.outcome.goals.push(planned);
        }
        endpoint.free_after_unloads = endpoint.free_after_unloads.saturating_sub(footprint);
        endpoint.models.push(model);
        self.assign_to_new_copy(model, self.models[model].copies.len() - 1);
    }

    /// Marks a copy as leaving, plans its unload and spreads its load over the
    /// other copies.
    pub(super) fn remove(&mut self, model: usize, copy: usize, reason: MoveReason) {
        let released = self.released_memory(model, copy);
        let entry = &mut self.models[model];
        let slot = entry.copies[copy].slot;
        let load = entry.copies[copy].load;
        entry.copies[copy].state = CopyState::Leaving;
        entry.copies[copy].load = 0.0;
        entry.deficit += load;
        let action = EndpointAction::UnloadModel {
            model: entry.id.clone(),
            version: entry.copies[copy].version.clone(),
        };
        let endpoint = &mut self.slots[slot];
        endpoint.free_after_unloads += released;
        endpoint.remaining_capacity += load;
        self.outcome.moves.push(PlannedMove {
            endpoint: endpoint.id.clone(),
            action,
            reason,
        });
        self.spread_deficit(model);
    }

    /// Returns the memory that unloading a copy and its adapters frees, in MiB.
    ///
    /// The copy counts with the size of the wanted version.
    pub(super) fn released_memory(&self, model: usize, copy: usize) -> u64 {
        let entry = &self.models[model];
        let held = self.slots[entry.copies[copy].slot].adapters;
        let adapters: u64 = entry
            .adapters
            .iter()
            .filter(|adapter| held.contains_key(**adapter))
            .filter_map(|adapter| self.problem.adapters.get(*adapter))
            .map(|adapter| adapter.memory.get())
            .sum();
        entry.need.memory.get() + adapters
    }

    pub(super) fn record_unplaced(&mut self, model: usize, reason: UnplacedReason) {
        self.outcome.unplaced.push(UnplacedItem {
            model: Some(self.models[model].id.clone()),
            adapter: None,
            reason,
        });
    }

    /// Returns the models by descending priority; among equals, by ascending
    /// rendezvous rank of this data centre.
    pub(super) fn by_priority(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by_key(|&index| {
            let need = self.models[index].need;
            (Reverse(need.priority), need.rendezvous_rank)
        });
        order
    }
}

fn build_slots(problem: &PlanProblem) -> Vec<EndpointSlot<'_>> {
    problem
        .endpoints
        .iter()
        .map(|(id, view)| {
            let free = view.memory.get().saturating_sub(view.possible.get());
            let capacity = f64::from(view.accelerators) * MILLI_PER_ACCELERATOR;
            EndpointSlot {
                id,
                accepting: view.accepting,
                memory: view.memory.get(),
                free,
                free_after_unloads: free,
                capacity,
                remaining_capacity: capacity,
                models: Vec::new(),
                adapters: &view.adapters,
            }
        })
        .collect()
}

fn build_models(problem: &PlanProblem) -> Vec<DraftModel<'_>> {
    let mut adapters: BTreeMap<&ModelId, Vec<&AdapterId>> = BTreeMap::new();
    for (id, need) in &problem.adapters {
        adapters.entry(&need.model).or_default().push(id);
    }
    let headroom = f64::from(problem.tuning.headroom_percent) / 100.0;
    problem
        .models
        .iter()
        .map(|(id, need)| {
            let adapters = adapters.remove(id).unwrap_or_default();
            let adapter_memory: u64 = adapters
                .iter()
                .filter_map(|adapter| problem.adapters.get(*adapter))
                .map(|adapter| adapter.memory.get())
                .sum();
            DraftModel {
                id,
                need,
                adapters,
                footprint: need.memory.get() + adapter_memory,
                load: need.load * headroom,
                deficit: 0.0,
                weight: 1.0 + f64::from(need.priority.get()) / 255.0,
                required: need.min_copies,
                pins: BTreeMap::new(),
                forbidden: BTreeMap::new(),
                copies: Vec::new(),
            }
        })
        .collect()
}

/// Returns whether any of the given slots holds the adapter ready.
pub(super) fn is_ready_on(
    draft: &DraftPlacement<'_>,
    adapter: &AdapterId,
    ready_slots: &BTreeSet<usize>,
) -> bool {
    ready_slots
        .iter()
        .any(|&slot| draft.slots[slot].adapters.get(adapter) == Some(&CopyState::Ready))
}
