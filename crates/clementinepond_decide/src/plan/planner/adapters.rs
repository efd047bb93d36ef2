//! Adapters follow the copies of their models.

use super::board::Board;
use super::{CopyState, MoveReason, PlannedMove, UnplacedItem, UnplacedReason};
use crate::plan::EndpointAction;
use clementinepond_types::{AdapterId, ModelId};

/// Loads adapters beside every ready copy and unloads those left alone.
pub(super) fn place(board: &mut Board<'_>) {
    unload_orphans(board);
    let adapters: Vec<(&AdapterId, &ModelId)> = board
        .problem
        .adapters
        .iter()
        .map(|(id, need)| (id, &need.model))
        .collect();
    // First copies go before second copies of any adapter.
    for &(adapter, model) in &adapters {
        if !is_held(board, adapter) && !load(board, adapter, model, 1) {
            report_missing(board, adapter, model);
        }
    }
    for &(adapter, model) in &adapters {
        load(board, adapter, model, usize::MAX);
    }
}

fn is_held(board: &Board<'_>, adapter: &AdapterId) -> bool {
    board.seats.iter().any(|seat| {
        seat.adapters
            .get(adapter)
            .is_some_and(|state| *state != CopyState::Leaving)
    })
}

/// Loads an adapter on up to `count` endpoints; returns whether any can be.
fn load(board: &mut Board<'_>, adapter: &AdapterId, model: &ModelId, count: usize) -> bool {
    let Some(&index) = board.index.get(model) else {
        return false;
    };
    let Some(need) = board.problem.adapters.get(adapter) else {
        return false;
    };
    let seats: Vec<usize> = board.models[index]
        .copies
        .iter()
        .filter(|copy| copy.state == CopyState::Ready)
        .map(|copy| copy.seat)
        .filter(|&seat| {
            let spot = &board.seats[seat];
            spot.accepting && !spot.adapters.contains_key(adapter) && spot.free >= need.memory.get()
        })
        .take(count)
        .collect();
    for &seat in &seats {
        if board.budget.adapters == 0 {
            break;
        }
        let planned = PlannedMove {
            endpoint: board.seats[seat].id.clone(),
            action: EndpointAction::LoadAdapter {
                adapter: adapter.clone(),
                model: model.clone(),
                memory_mib: need.memory,
            },
            reason: MoveReason::BesideModel,
        };
        if board.outcome.moves.contains(&planned) {
            continue;
        }
        board.budget.adapters -= 1;
        board.seats[seat].free -= need.memory.get();
        board.outcome.moves.push(planned);
    }
    !seats.is_empty()
}

fn report_missing(board: &mut Board<'_>, adapter: &AdapterId, model: &ModelId) {
    board.outcome.unplaced.push(UnplacedItem {
        model: None,
        adapter: Some(adapter.clone()),
        reason: UnplacedReason::NoModel {
            model: model.clone(),
        },
    });
}

fn unload_orphans(board: &mut Board<'_>) {
    for seat in 0..board.seats.len() {
        if !board.seats[seat].accepting {
            continue;
        }
        let held = board.seats[seat].adapters;
        for (adapter, state) in held {
            if *state == CopyState::Ready && is_orphan(board, adapter, seat) {
                board.outcome.moves.push(PlannedMove {
                    endpoint: board.seats[seat].id.clone(),
                    action: EndpointAction::UnloadAdapter {
                        adapter: adapter.clone(),
                    },
                    reason: MoveReason::NotHosted,
                });
            }
        }
    }
}

fn is_orphan(board: &Board<'_>, adapter: &AdapterId, seat: usize) -> bool {
    let Some(need) = board.problem.adapters.get(adapter) else {
        return true;
    };
    match board.index.get(&need.model) {
        Some(&index) => !board.models[index].sits_at(seat),
        None => true,
    }
}
