//! The stages of a plan, in the order of their importance.

use super::board::Board;
use super::room::RoomChoice;
use super::{CopyState, MoveReason, UnplacedReason};
use crate::plan::EndpointAction;
use crate::plan::planner::PlannedMove;

/// Models tried for a replacement in one round of the demand stage.
const REPLACEMENT_CANDIDATES: usize = 8;

/// Unloads what is hosted no more or forbidden by an exception.
pub(super) fn remove_unwanted(board: &mut Board<'_>) {
    for (id, view) in &board.problem.endpoints {
        for holding in view.holdings.iter().filter(|_| view.accepting) {
            if holding.state == CopyState::Ready && !board.index.contains_key(&holding.model) {
                board.outcome.moves.push(PlannedMove {
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
    for model in 0..board.models.len() {
        for copy in 0..board.models[model].copies.len() {
            let seat = board.models[model].copies[copy].seat;
            let Some(&reason) = board.models[model].forbidden.get(&seat) else {
                continue;
            };
            if board.removable(model, copy) {
                board.remove(model, copy, MoveReason::Exception(reason.into()));
            }
        }
    }
}

/// Places the copies that must exist.
pub(super) fn place_required(board: &mut Board<'_>) {
    for model in board.by_priority() {
        let pins: Vec<(usize, Box<str>)> = board.models[model]
            .pins
            .iter()
            .map(|(seat, reason)| (*seat, (*reason).into()))
            .collect();
        for (seat, reason) in pins {
            place_pinned(board, model, seat, reason);
        }
        let required = board.models[model].required;
        let found = allowed_copies(board, model);
        let missing = usize::try_from(required)
            .unwrap_or(usize::MAX)
            .saturating_sub(found);
        for _ in 0..missing {
            if !place_one(board, model, MoveReason::Required { found, required }) {
                break;
            }
        }
    }
}

/// Counts copies of any version that serve or will serve at an allowed seat.
fn allowed_copies(board: &Board<'_>, model: usize) -> usize {
    let entry = &board.models[model];
    entry
        .copies
        .iter()
        .filter(|copy| {
            copy.state != CopyState::Leaving && !entry.forbidden.contains_key(&copy.seat)
        })
        .count()
}

fn place_pinned(board: &mut Board<'_>, model: usize, seat: usize, reason: Box<str>) {
    if !board.may_sit(model, seat) {
        return;
    }
    if let Some(choice) = board.make_room(model, seat) {
        take(board, model, choice, MoveReason::Exception(reason));
    } else {
        board.unplaced(model, UnplacedReason::NoRoom);
    }
}

/// Places one copy wherever it costs least; returns whether there is a way.
fn place_one(board: &mut Board<'_>, model: usize, reason: MoveReason) -> bool {
    if let Some(choice) = board.cheapest_room(model) {
        take(board, model, choice, reason);
        return true;
    }
    if board.step_aside(model) {
        return true;
    }
    let why = why_unplaced(board, model);
    board.unplaced(model, why);
    false
}

fn why_unplaced(board: &Board<'_>, model: usize) -> UnplacedReason {
    let entry = &board.models[model];
    let largest = board
        .seats
        .iter()
        .enumerate()
        .filter(|(seat, spot)| spot.accepting && !entry.forbidden.contains_key(seat))
        .map(|(_, spot)| spot.memory)
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

fn take(board: &mut Board<'_>, model: usize, choice: RoomChoice, reason: MoveReason) {
    let id = board.models[model].id.clone();
    for (other, copy) in choice.removed {
        board.remove(other, copy, MoveReason::RoomFor(id.clone()));
    }
    board.place(model, choice.seat, reason);
}

/// Replaces copies of earlier versions one by one.
pub(super) fn follow_versions(board: &mut Board<'_>) {
    for model in board.by_priority() {
        let wanted = wanted_copies(board, model);
        if earlier_copies(board, model).next().is_none() {
            continue;
        }
        let current = board.models[model].current_copies();
        if current < wanted && !place_beside(board, model) {
            place_one(board, model, MoveReason::Version);
        }
        retire_earlier(board, model, wanted);
    }
}

fn earlier_copies<'b>(board: &'b Board<'_>, model: usize) -> impl Iterator<Item = usize> + 'b {
    let entry = &board.models[model];
    entry
        .copies
        .iter()
        .enumerate()
        .filter(|(_, copy)| !entry.is_current(copy) && copy.state == CopyState::Ready)
        .map(|(index, _)| index)
}

/// Loads the new version on an endpoint that holds the earlier one.
fn place_beside(board: &mut Board<'_>, model: usize) -> bool {
    let seat = earlier_copies(board, model)
        .map(|copy| board.models[model].copies[copy].seat)
        .find(|&seat| {
            board.may_sit(model, seat) && board.seats[seat].free >= board.models[model].footprint
        });
    if let Some(seat) = seat {
        board.place(model, seat, MoveReason::Version);
    }
    seat.is_some()
}

fn retire_earlier(board: &mut Board<'_>, model: usize, wanted: usize) {
    let earlier: Vec<usize> = earlier_copies(board, model).collect();
    let ready = board.models[model]
        .copies
        .iter()
        .filter(|copy| board.models[model].is_current(copy) && copy.state == CopyState::Ready)
        .count();
    let unprotected = board.problem.last_copy_unprotected || board.problem.arriving_counts_as_ready;
    if ready == 0 && !unprotected {
        return;
    }
    let spare = (ready + earlier.len()).saturating_sub(wanted);
    for copy in earlier.into_iter().take(spare.max(1)) {
        if board.removable(model, copy) {
            board.remove(model, copy, MoveReason::Version);
        }
    }
}

/// Returns the copies that the load asks for.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the quotient is a small count"
)]
fn wanted_copies(board: &Board<'_>, model: usize) -> usize {
    let entry = &board.models[model];
    let by_load = (entry.load / entry.need.replica_limit.max(1.0)).ceil() as usize;
    by_load
        .max(usize::try_from(entry.required).unwrap_or(1))
        .max(1)
}

/// Adds copies where they serve most besides.
pub(super) fn follow_demand(board: &mut Board<'_>) {
    let pipeline = usize::try_from(board.problem.tuning.pipeline).unwrap_or(usize::MAX);
    for _ in 0..board.problem.tuning.picks {
        if board.budget.loads == 0 && board.outcome.goals.len() >= pipeline {
            return;
        }
        let Some((model, gain, choice)) = best_pick(board) else {
            return;
        };
        take(board, model, choice, MoveReason::Demand { gain });
    }
}

fn best_pick(board: &Board<'_>) -> Option<(usize, u64, RoomChoice)> {
    let mut best: Option<(f64, usize, RoomChoice)> = None;
    let mut short: Vec<usize> = (0..board.models.len())
        .filter(|&model| board.models[model].deficit > 0.0)
        .collect();
    short.sort_by(|&left, &right| {
        let rank = |model: usize| board.models[model].deficit * board.models[model].weight;
        rank(right).total_cmp(&rank(left))
    });
    for &model in &short {
        consider(board, model, free_pick(board, model), &mut best);
    }
    for &model in short.iter().take(REPLACEMENT_CANDIDATES) {
        consider(board, model, replacement_pick(board, model), &mut best);
    }
    best.map(|(_, model, choice)| {
        let gain = whole(gain_at(board, model, choice.seat));
        (model, gain, choice)
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "loads are far below 2^52"
)]
fn whole(load: f64) -> u64 {
    load.round() as u64
}

fn consider(
    board: &Board<'_>,
    model: usize,
    choice: Option<RoomChoice>,
    best: &mut Option<(f64, usize, RoomChoice)>,
) {
    let Some(choice) = choice else {
        return;
    };
    let weight = board.models[model].weight;
    let net = gain_at(board, model, choice.seat) * weight - choice.loss;
    let tuning = &board.problem.tuning;
    let unloads = u32::try_from(choice.removed.len()).unwrap_or(u32::MAX);
    let percent = f64::from(tuning.smallest_gain_percent)
        + f64::from(tuning.unload_cost_percent) * f64::from(unloads);
    let cost = board.models[model].need.replica_limit * percent / 100.0;
    let over_loss = f64::from(tuning.gain_over_loss_percent) / 100.0 * choice.loss;
    if net < cost || net + choice.loss < over_loss {
        return;
    }
    if best.as_ref().is_none_or(|(held, ..)| net > *held) {
        *best = Some((net, model, choice));
    }
}

/// Returns the load that a copy at a seat would serve besides.
fn gain_at(board: &Board<'_>, model: usize, seat: usize) -> f64 {
    let entry = &board.models[model];
    entry
        .deficit
        .min(entry.need.replica_limit)
        .min(board.seats[seat].remaining)
        .max(0.0)
}

fn free_pick(board: &Board<'_>, model: usize) -> Option<RoomChoice> {
    let footprint = board.models[model].footprint;
    (0..board.seats.len())
        .filter(|&seat| board.seats[seat].free >= footprint && board.may_sit(model, seat))
        .map(|seat| (gain_at(board, model, seat), seat))
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, seat)| RoomChoice {
            seat,
            removed: Vec::new(),
            loss: 0.0,
        })
}

fn replacement_pick(board: &Board<'_>, model: usize) -> Option<RoomChoice> {
    let weight = board.models[model].weight;
    let mut best: Option<(f64, RoomChoice)> = None;
    for seat in 0..board.seats.len() {
        let gain = gain_at(board, model, seat) * weight;
        let is_hopeless = best.as_ref().is_some_and(|(held, _)| gain <= *held);
        if gain <= 0.0 || is_hopeless || !board.may_sit(model, seat) {
            continue;
        }
        let Some(choice) = board.make_room(model, seat) else {
            continue;
        };
        let net = gain - choice.loss;
        if best.as_ref().is_none_or(|(held, _)| net > *held) {
            best = Some((net, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Uses free room for models with few copies.
pub(super) fn cover(board: &mut Board<'_>) {
    for copies in 1..=board.problem.tuning.free_copies {
        for model in board.by_priority() {
            if board.budget.loads == 0 {
                return;
            }
            let wanted = usize::try_from(copies).unwrap_or(usize::MAX);
            if allowed_copies(board, model) >= wanted {
                continue;
            }
            if let Some(choice) = free_pick(board, model) {
                take(board, model, choice, MoveReason::FreeRoom);
            }
        }
    }
}
