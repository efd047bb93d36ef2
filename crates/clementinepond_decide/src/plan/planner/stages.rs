//! The stages of a plan, in descending order of importance.

use super::draft::DraftPlacement;
use super::placement_option::PlacementOption;
use super::{CopyState, MoveReason, UnplacedReason};
use crate::plan::EndpointAction;
use crate::plan::planner::PlannedMove;

/// Most models for which one round of the demand stage tries to unload others.
///
/// The models with the largest weighted unserved load are tried.
const MAX_REPLACEMENT_MODELS: usize = 8;

/// Unloads copies of models that are no longer hosted, and copies that an exception
/// forbids.
pub(super) fn unload_unwanted(draft: &mut DraftPlacement<'_>) {
    for (id, view) in &draft.problem.endpoints {
        for holding in view.holdings.iter().filter(|_| view.accepting) {
            if holding.state == CopyState::Ready && !draft.index.contains_key(&holding.model) {
                draft.outcome.moves.push(PlannedMove {
                    endpoint: id.clone(),
                    action: EndpointAction::UnloadModel {
                        model: holding.model.clone(),
                        version: holding.version.clone(),
                    },
                    reason: MoveReason::NotHosted,
                });
            }
        }
    }
    for model in 0..draft.models.len() {
        for copy in 0..draft.models[model].copies.len() {
            let slot = draft.models[model].copies[copy].slot;
            let Some(&reason) = draft.models[model].forbidden.get(&slot) else {
                continue;
            };
            if draft.removable(model, copy) {
                draft.remove(model, copy, MoveReason::Exception(reason.into()));
            }
        }
    }
}

/// Places pinned copies, and copies up to the required number.
pub(super) fn place_required(draft: &mut DraftPlacement<'_>) {
    for model in draft.by_priority() {
        let pins: Vec<(usize, Box<str>)> = draft.models[model]
            .pins
            .iter()
            .map(|(slot, reason)| (*slot, (*reason).into()))
            .collect();
        for (slot, reason) in pins {
            place_pinned(draft, model, slot, reason);
        }
        let required = draft.models[model].required;
        let found = allowed_copies(draft, model);
        let missing = usize::try_from(required)
            .unwrap_or(usize::MAX)
            .saturating_sub(found);
        for _ in 0..missing {
            if !place_one(draft, model, MoveReason::Required { found, required }) {
                break;
            }
        }
    }
}

/// Returns the number of ready and arriving copies of any version on endpoints
/// that no exception forbids.
fn allowed_copies(draft: &DraftPlacement<'_>, model: usize) -> usize {
    let entry = &draft.models[model];
    entry
        .copies
        .iter()
        .filter(|copy| {
            copy.state != CopyState::Leaving && !entry.forbidden.contains_key(&copy.slot)
        })
        .count()
}

/// Places a pinned copy, or reports that there is no memory for it.
///
/// Does nothing if the endpoint accepts no orders, is too small, is forbidden or
/// holds the wanted version.
fn place_pinned(draft: &mut DraftPlacement<'_>, model: usize, slot: usize, reason: Box<str>) {
    if !draft.may_place(model, slot) {
        return;
    }
    if let Some(option) = draft.option_at(model, slot) {
        apply_option(draft, model, option, MoveReason::Exception(reason));
    } else {
        draft.record_unplaced(model, UnplacedReason::NoRoom);
    }
}

/// Places one copy where it costs least, or starts to relocate other copies.
///
/// Returns whether either is possible; otherwise reports the model as unplaced.
fn place_one(draft: &mut DraftPlacement<'_>, model: usize, reason: MoveReason) -> bool {
    if let Some(option) = draft.cheapest_option(model) {
        apply_option(draft, model, option, reason);
        return true;
    }
    if draft.relocate_for(model) {
        return true;
    }
    let reason = unplaced_reason(draft, model);
    draft.record_unplaced(model, reason);
    false
}

fn unplaced_reason(draft: &DraftPlacement<'_>, model: usize) -> UnplacedReason {
    let entry = &draft.models[model];
    let largest = draft
        .slots
        .iter()
        .enumerate()
        .filter(|(slot, endpoint)| endpoint.accepting && !entry.forbidden.contains_key(slot))
        .map(|(_, endpoint)| endpoint.memory)
        .max();
    match largest {
        None => UnplacedReason::NoEndpoint,
        Some(largest) if largest < entry.footprint => UnplacedReason::TooLarge {
            needed_mib: entry.footprint,
            largest_mib: largest,
        },
        Some(_) => UnplacedReason::NoRoom,
    }
}

fn apply_option(
    draft: &mut DraftPlacement<'_>,
    model: usize,
    option: PlacementOption,
    reason: MoveReason,
) {
    let id = draft.models[model].id.clone();
    for (other, copy) in option.removed {
        draft.remove(other, copy, MoveReason::MemoryFor(id.clone()));
    }
    draft.place(model, option.slot, reason);
}

/// Replaces copies of other versions by the wanted one.
///
/// Each plan adds at most one copy of a model, and does not unload a ready one of
/// another version before a copy of the wanted version is ready.
pub(super) fn replace_old_versions(draft: &mut DraftPlacement<'_>) {
    for model in draft.by_priority() {
        let wanted = needed_copies(draft, model);
        if old_copies(draft, model).next().is_none() {
            continue;
        }
        let current = draft.models[model].current_copies();
        if current < wanted && !place_on_same_endpoint(draft, model) {
            place_one(draft, model, MoveReason::Version);
        }
        unload_old_versions(draft, model, wanted);
    }
}

fn old_copies<'b>(draft: &'b DraftPlacement<'_>, model: usize) -> impl Iterator<Item = usize> + 'b {
    let entry = &draft.models[model];
    entry
        .copies
        .iter()
        .enumerate()
        .filter(|(_, copy)| !entry.is_current(copy) && copy.state == CopyState::Ready)
        .map(|(index, _)| index)
}

/// Loads the wanted version on an endpoint that holds another one, if its free
/// memory suffices for both; returns whether it does.
fn place_on_same_endpoint(draft: &mut DraftPlacement<'_>, model: usize) -> bool {
    let slot = old_copies(draft, model)
        .map(|copy| draft.models[model].copies[copy].slot)
        .find(|&slot| {
            draft.may_place(model, slot) && draft.slots[slot].free >= draft.models[model].footprint
        });
    if let Some(slot) = slot {
        draft.place(model, slot, MoveReason::Version);
    }
    slot.is_some()
}

fn unload_old_versions(draft: &mut DraftPlacement<'_>, model: usize, wanted: usize) {
    let old: Vec<usize> = old_copies(draft, model).collect();
    let ready = draft.models[model]
        .copies
        .iter()
        .filter(|copy| draft.models[model].is_current(copy) && copy.state == CopyState::Ready)
        .count();
    let unprotected = draft.problem.last_copy_unprotected || draft.problem.arriving_counts_as_ready;
    if ready == 0 && !unprotected {
        return;
    }
    let spare = (ready + old.len()).saturating_sub(wanted);
    for copy in old.into_iter().take(spare.max(1)) {
        if draft.removable(model, copy) {
            draft.remove(model, copy, MoveReason::Version);
        }
    }
}

/// Returns the number of copies needed for the load and the required minimum, at
/// least one.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the quotient is a small count"
)]
fn needed_copies(draft: &DraftPlacement<'_>, model: usize) -> usize {
    let entry = &draft.models[model];
    let by_load = (entry.load / entry.need.replica_limit.max(1.0)).ceil() as usize;
    by_load
        .max(usize::try_from(entry.required).unwrap_or(1))
        .max(1)
}

/// Adds copies where they serve the most additional load.
///
/// Stops at the limit of placements in one plan, or once the load budget is used
/// up and enough loads wait for it.
pub(super) fn add_copies_for_demand(draft: &mut DraftPlacement<'_>) {
    let max_waiting_loads =
        usize::try_from(draft.problem.tuning.max_waiting_loads).unwrap_or(usize::MAX);
    for _ in 0..draft.problem.tuning.max_demand_placements {
        if draft.budget.loads == 0 && draft.outcome.goals.len() >= max_waiting_loads {
            return;
        }
        let Some((model, gain, option)) = best_candidate(draft) else {
            return;
        };
        apply_option(draft, model, option, MoveReason::Demand { gain });
    }
}

fn best_candidate(draft: &DraftPlacement<'_>) -> Option<(usize, u64, PlacementOption)> {
    let mut best: Option<(f64, usize, PlacementOption)> = None;
    let mut underserved: Vec<usize> = (0..draft.models.len())
        .filter(|&model| draft.models[model].deficit > 0.0)
        .collect();
    underserved.sort_by(|&left, &right| {
        let rank = |model: usize| draft.models[model].deficit * draft.models[model].weight;
        rank(right).total_cmp(&rank(left))
    });
    for &model in &underserved {
        keep_if_better(draft, model, best_free_slot(draft, model), &mut best);
    }
    for &model in underserved.iter().take(MAX_REPLACEMENT_MODELS) {
        keep_if_better(draft, model, best_replacement(draft, model), &mut best);
    }
    best.map(|(_, model, option)| {
        let gain = round_load(gain_at(draft, model, option.slot));
        (model, gain, option)
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "loads are far below 2^52"
)]
fn round_load(load: f64) -> u64 {
    load.round() as u64
}

/// Replaces the best candidate if an option is better and worth its cost.
///
/// The gain less the loss must reach a share of what a copy can carry, larger for
/// each unload, and the gain must be at least a set multiple of the loss.
fn keep_if_better(
    draft: &DraftPlacement<'_>,
    model: usize,
    option: Option<PlacementOption>,
    best: &mut Option<(f64, usize, PlacementOption)>,
) {
    let Some(option) = option else {
        return;
    };
    let weight = draft.models[model].weight;
    let net = gain_at(draft, model, option.slot) * weight - option.removal_loss;
    let tuning = &draft.problem.tuning;
    let unloads = u32::try_from(option.removed.len()).unwrap_or(u32::MAX);
    let percent = f64::from(tuning.smallest_gain_percent)
        + f64::from(tuning.unload_cost_percent) * f64::from(unloads);
    let cost = draft.models[model].need.replica_limit * percent / 100.0;
    let over_loss = f64::from(tuning.gain_over_loss_percent) / 100.0 * option.removal_loss;
    if net < cost || net + option.removal_loss < over_loss {
        return;
    }
    if best.as_ref().is_none_or(|(best_net, ..)| net > *best_net) {
        *best = Some((net, model, option));
    }
}

/// Returns the additional load that a copy at a slot would serve, in thousandths
/// of an accelerator.
fn gain_at(draft: &DraftPlacement<'_>, model: usize, slot: usize) -> f64 {
    let entry = &draft.models[model];
    entry
        .deficit
        .min(entry.need.replica_limit)
        .min(draft.slots[slot].remaining_capacity)
        .max(0.0)
}

fn best_free_slot(draft: &DraftPlacement<'_>, model: usize) -> Option<PlacementOption> {
    let footprint = draft.models[model].footprint;
    (0..draft.slots.len())
        .filter(|&slot| draft.slots[slot].free >= footprint && draft.may_place(model, slot))
        .map(|slot| (gain_at(draft, model, slot), slot))
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, slot)| PlacementOption {
            slot,
            removed: Vec::new(),
            removal_loss: 0.0,
        })
}

fn best_replacement(draft: &DraftPlacement<'_>, model: usize) -> Option<PlacementOption> {
    let weight = draft.models[model].weight;
    let mut best: Option<(f64, PlacementOption)> = None;
    for slot in 0..draft.slots.len() {
        let gain = gain_at(draft, model, slot) * weight;
        let cannot_improve = best.as_ref().is_some_and(|(best_net, _)| gain <= *best_net);
        if gain <= 0.0 || cannot_improve || !draft.may_place(model, slot) {
            continue;
        }
        let Some(option) = draft.option_at(model, slot) else {
            continue;
        };
        let net = gain - option.removal_loss;
        if best.as_ref().is_none_or(|(best_net, _)| net > *best_net) {
            best = Some((net, option));
        }
    }
    best.map(|(_, option)| option)
}

/// Places models with fewer than `free_copies` copies in free memory, while the load
/// budget lasts.
pub(super) fn fill_free_memory(draft: &mut DraftPlacement<'_>) {
    for copies in 1..=draft.problem.tuning.free_copies {
        for model in draft.by_priority() {
            if draft.budget.loads == 0 {
                return;
            }
            let wanted = usize::try_from(copies).unwrap_or(usize::MAX);
            if allowed_copies(draft, model) >= wanted {
                continue;
            }
            if let Some(option) = best_free_slot(draft, model) {
                apply_option(draft, model, option, MoveReason::FreeMemory);
            }
        }
    }
}
