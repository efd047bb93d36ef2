//! The placement under change, with dense indices.

use super::{
    CopyState, HoldingView, ModelNeed, MoveBudget, MoveReason, PlanOutcome, PlanProblem,
    PlannedMove, UnplacedItem, UnplacedReason,
};
use crate::plan::{EndpointAction, ExceptionRule, ModelVersion};
use clementinepond_types::{AdapterId, EndpointId, ModelId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Thousandths of an accelerator in one.
const MILLI: f64 = 1_000.0;

/// One copy of a model.
#[derive(Debug, Clone)]
pub(super) struct BoardCopy {
    pub(super) seat: usize,
    pub(super) state: CopyState,
    pub(super) version: ModelVersion,
    pub(super) load: f64,
}

/// One endpoint.
#[derive(Debug)]
pub(super) struct BoardSeat<'a> {
    pub(super) id: &'a EndpointId,
    pub(super) accepting: bool,
    pub(super) memory: u64,
    /// Memory that is free for certain.
    pub(super) free: u64,
    /// Memory that is free once everything that leaves has left.
    pub(super) later: u64,
    pub(super) capacity: f64,
    pub(super) remaining: f64,
    pub(super) models: Vec<usize>,
    pub(super) adapters: &'a BTreeMap<AdapterId, CopyState>,
}

/// One hosted model.
#[derive(Debug)]
pub(super) struct BoardModel<'a> {
    pub(super) id: &'a ModelId,
    pub(super) need: &'a ModelNeed,
    pub(super) adapters: Vec<&'a AdapterId>,
    /// Memory of a copy with all its adapters.
    pub(super) footprint: u64,
    pub(super) load: f64,
    pub(super) deficit: f64,
    pub(super) weight: f64,
    pub(super) required: u32,
    pub(super) pins: BTreeMap<usize, &'a str>,
    pub(super) forbidden: BTreeMap<usize, &'a str>,
    pub(super) copies: Vec<BoardCopy>,
}

impl BoardModel<'_> {
    pub(super) fn is_current(&self, copy: &BoardCopy) -> bool {
        copy.version == self.need.version
    }

    pub(super) fn sits_at(&self, seat: usize) -> bool {
        self.copies.iter().any(|copy| copy.seat == seat)
    }

    /// Counts copies that serve or will serve the wanted version.
    pub(super) fn current_copies(&self) -> usize {
        self.copies
            .iter()
            .filter(|copy| self.is_current(copy) && copy.state != CopyState::Leaving)
            .count()
    }
}

/// The placement under change.
pub(super) struct Board<'a> {
    pub(super) problem: &'a PlanProblem,
    pub(super) seats: Vec<BoardSeat<'a>>,
    pub(super) models: Vec<BoardModel<'a>>,
    pub(super) index: BTreeMap<&'a ModelId, usize>,
    pub(super) budget: MoveBudget,
    pub(super) outcome: PlanOutcome,
}

impl<'a> Board<'a> {
    pub(super) fn new(problem: &'a PlanProblem) -> Self {
        let seats: Vec<_> = problem.endpoints.keys().collect();
        let seat_index: BTreeMap<_, _> = seats.iter().enumerate().map(|(i, id)| (*id, i)).collect();
        let mut board = Self {
            problem,
            seats: build_seats(problem),
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
        board.add_exceptions(&seat_index);
        board.add_copies();
        board
    }

    fn add_exceptions(&mut self, seats: &BTreeMap<&EndpointId, usize>) {
        for exception in &self.problem.exceptions {
            let Some(&index) = self.index.get(&exception.model) else {
                continue;
            };
            let model = &mut self.models[index];
            match &exception.rule {
                ExceptionRule::Pin { endpoint } => {
                    if let Some(&seat) = seats.get(endpoint) {
                        model.pins.insert(seat, &exception.reason);
                    }
                }
                ExceptionRule::Forbid { endpoint } => {
                    if let Some(&seat) = seats.get(endpoint) {
                        model.forbidden.insert(seat, &exception.reason);
                    }
                }
                ExceptionRule::MinReplicas { count } => {
                    model.required = model.required.max(*count);
                }
            }
        }
    }

    fn add_copies(&mut self) {
        for (seat, view) in self.problem.endpoints.values().enumerate() {
            for holding in &view.holdings {
                self.add_copy(seat, holding);
            }
        }
    }

    fn add_copy(&mut self, seat: usize, holding: &HoldingView) {
        if holding.state == CopyState::Leaving {
            self.seats[seat].later += holding.memory.get();
        }
        let Some(&index) = self.index.get(&holding.model) else {
            return;
        };
        self.seats[seat].models.push(index);
        self.models[index].copies.push(BoardCopy {
            seat,
            state: holding.state,
            version: holding.version.clone(),
            load: 0.0,
        });
    }

    /// Adds a copy; the load is ordered now if room and the store allow it.
    pub(super) fn place(&mut self, model: usize, seat: usize, reason: MoveReason) {
        let entry = &mut self.models[model];
        let footprint = entry.footprint;
        let planned = PlannedMove {
            endpoint: self.seats[seat].id.clone(),
            action: EndpointAction::LoadModel {
                model: entry.id.clone(),
                version: entry.need.version.clone(),
                memory_mib: entry.need.memory,
            },
            reason,
        };
        entry.copies.push(BoardCopy {
            seat,
            state: CopyState::Arriving,
            version: entry.need.version.clone(),
            load: 0.0,
        });
        let spot = &mut self.seats[seat];
        if self.budget.loads > 0 && spot.free >= footprint {
            self.budget.loads -= 1;
            spot.free -= footprint;
            self.outcome.moves.push(planned);
        } else {
            self.outcome.goals.push(planned);
        }
        spot.later = spot.later.saturating_sub(footprint);
        spot.models.push(model);
        self.carry(model, self.models[model].copies.len() - 1);
    }

    /// Withdraws a copy.
    pub(super) fn remove(&mut self, model: usize, copy: usize, reason: MoveReason) {
        let released = self.released_memory(model, copy);
        let entry = &mut self.models[model];
        let seat = entry.copies[copy].seat;
        let load = entry.copies[copy].load;
        entry.copies[copy].state = CopyState::Leaving;
        entry.copies[copy].load = 0.0;
        entry.deficit += load;
        let action = EndpointAction::UnloadModel {
            model: entry.id.clone(),
            version: entry.copies[copy].version.clone(),
        };
        let spot = &mut self.seats[seat];
        spot.later += released;
        spot.remaining += load;
        self.outcome.moves.push(PlannedMove {
            endpoint: spot.id.clone(),
            action,
            reason,
        });
        self.spread(model);
    }

    /// Returns the memory that a copy and its adapters give back.
    pub(super) fn released_memory(&self, model: usize, copy: usize) -> u64 {
        let entry = &self.models[model];
        let held = self.seats[entry.copies[copy].seat].adapters;
        let adapters: u64 = entry
            .adapters
            .iter()
            .filter(|adapter| held.contains_key(**adapter))
            .filter_map(|adapter| self.problem.adapters.get(*adapter))
            .map(|adapter| adapter.memory.get())
            .sum();
        entry.need.memory.get() + adapters
    }

    pub(super) fn unplaced(&mut self, model: usize, reason: UnplacedReason) {
        self.outcome.unplaced.push(UnplacedItem {
            model: Some(self.models[model].id.clone()),
            adapter: None,
            reason,
        });
    }

    /// Returns the models, the most important first; among equals, those that
    /// other data centres leave to this one.
    pub(super) fn by_priority(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.models.len()).collect();
        order.sort_by_key(|&index| {
            let need = self.models[index].need;
            (Reverse(need.priority), need.keeper_rank)
        });
        order
    }
}

fn build_seats(problem: &PlanProblem) -> Vec<BoardSeat<'_>> {
    problem
        .endpoints
        .iter()
        .map(|(id, view)| {
            let free = view.memory.get().saturating_sub(view.possible.get());
            let capacity = f64::from(view.accelerators) * MILLI;
            BoardSeat {
                id,
                accepting: view.accepting,
                memory: view.memory.get(),
                free,
                later: free,
                capacity,
                remaining: capacity,
                models: Vec::new(),
                adapters: &view.adapters,
            }
        })
        .collect()
}

fn build_models(problem: &PlanProblem) -> Vec<BoardModel<'_>> {
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
            let beside: u64 = adapters
                .iter()
                .filter_map(|adapter| problem.adapters.get(*adapter))
                .map(|adapter| adapter.memory.get())
                .sum();
            BoardModel {
                id,
                need,
                adapters,
                footprint: need.memory.get() + beside,
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

/// Returns the adapters that only one set of seats holds.
pub(super) fn held_elsewhere(
    board: &Board<'_>,
    adapter: &AdapterId,
    ready_seats: &BTreeSet<usize>,
) -> bool {
    ready_seats
        .iter()
        .any(|&seat| board.seats[seat].adapters.get(adapter) == Some(&CopyState::Ready))
}
