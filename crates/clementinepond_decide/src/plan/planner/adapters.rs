//! Placement of adapters beside the copies of their models.

use super::draft::DraftPlacement;
use super::{CopyState, MoveReason, PlannedMove, UnplacedItem, UnplacedReason};
use crate::plan::EndpointAction;
use clementinepond_types::{AdapterId, ModelId};

/// Loads adapters on endpoints with a ready copy of their model, and unloads those
/// whose model is no longer on the endpoint.
pub(super) fn place(draft: &mut DraftPlacement<'_>) {
    unload_orphaned_adapters(draft);
    let adapters: Vec<(&AdapterId, &ModelId)> = draft
        .problem
        .adapters
        .iter()
        .map(|(id, need)| (id, &need.model))
        .collect();
    // Every adapter gets a first copy before any gets a second one.
    for &(adapter, model) in &adapters {
        if !is_held(draft, adapter) && !load(draft, adapter, model, 1) {
            report_missing(draft, adapter, model);
        }
    }
    for &(adapter, model) in &adapters {
        load(draft, adapter, model, usize::MAX);
    }
}

fn is_held(draft: &DraftPlacement<'_>, adapter: &AdapterId) -> bool {
    draft.slots.iter().any(|slot| {
        slot.adapters
            .get(adapter)
            .is_some_and(|state| *state != CopyState::Leaving)
    })
}

/// Loads an adapter on up to `count` endpoints, within the adapter budget.
///
/// Returns whether any endpoint is suitable, also if the budget is used up.
fn load(
    draft: &mut DraftPlacement<'_>,
    adapter: &AdapterId,
    model: &ModelId,
    count: usize,
) -> bool {
    let Some(&index) = draft.index.get(model) else {
        return false;
    };
    let Some(need) = draft.problem.adapters.get(adapter) else {
        return false;
    };
    let slots: Vec<usize> = draft.models[index]
        .copies
        .iter()
        .filter(|copy| copy.state == CopyState::Ready)
        .map(|copy| copy.slot)
        .filter(|&slot| {
            let endpoint = &draft.slots[slot];
            endpoint.accepting
                && !endpoint.adapters.contains_key(adapter)
                && endpoint.free >= need.memory.get()
        })
        .take(count)
        .collect();
    for &slot in &slots {
        if draft.budget.adapters == 0 {
            break;
        }
        let planned = PlannedMove {
            endpoint: draft.slots[slot].id.clone(),
            action: EndpointAction::LoadAdapter {
                adapter: adapter.clone(),
                model: model.clone(),
                memory_mib: need.memory,
            },
            reason: MoveReason::BesideModel,
        };
        if draft.outcome.moves.contains(&planned) {
            continue;
        }
        draft.budget.adapters -= 1;
        draft.slots[slot].free -= need.memory.get();
        draft.outcome.moves.push(planned);
    }
    !slots.is_empty()
}

fn report_missing(draft: &mut DraftPlacement<'_>, adapter: &AdapterId, model: &ModelId) {
    draft.outcome.unplaced.push(UnplacedItem {
        model: None,
        adapter: Some(adapter.clone()),
        reason: UnplacedReason::NoModel {
            model: model.clone(),
        },
    });
}

fn unload_orphaned_adapters(draft: &mut DraftPlacement<'_>) {
    for slot in 0..draft.slots.len() {
        if !draft.slots[slot].accepting {
            continue;
        }
        let held = draft.slots[slot].adapters;
        for (adapter, state) in held {
            if *state == CopyState::Ready && is_orphan(draft, adapter, slot) {
                draft.outcome.moves.push(PlannedMove {
                    endpoint: draft.slots[slot].id.clone(),
                    action: EndpointAction::UnloadAdapter {
                        adapter: adapter.clone(),
                    },
                    reason: MoveReason::NotHosted,
                });
            }
        }
    }
}

fn is_orphan(draft: &DraftPlacement<'_>, adapter: &AdapterId, slot: usize) -> bool {
    let Some(need) = draft.problem.adapters.get(adapter) else {
        return true;
    };
    match draft.index.get(&need.model) {
        Some(&index) => !draft.models[index].has_copy_on(slot),
        None => true,
    }
}
