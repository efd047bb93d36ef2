//! Load that is served within bounds.
//!
//! An endpoint's accelerators serve within bounds up to a share of their full
//! use, and each further busy model on the endpoint takes a part of that
//! through interference. Load of a model is shared over its ready copies in
//! rounds, in proportion to what their endpoints have left; a copy carries at
//! most its own limit.

use super::fake::FakeEngine;
use clementinepond_decide::plan::ModelState;
use clementinepond_types::ModelId;
use std::collections::BTreeMap;

/// Share of full use up to which requests stay within their bounds.
const BOUNDED_SHARE: f64 = 0.9;
/// Capacity lost for each further busy model on an endpoint.
const INTERFERENCE: f64 = 0.03;
/// Smallest share that interference leaves.
const INTERFERENCE_FLOOR: f64 = 0.6;
/// Rounds in which load is shared.
const ROUNDS: usize = 8;

/// What one model offers at a moment, in thousandths of an accelerator.
#[derive(Debug, Clone, Copy)]
pub(super) struct ModelLoad {
    pub(super) offered: f64,
    pub(super) replica_limit: f64,
}

/// What is served at a moment, in thousandths of an accelerator.
#[derive(Debug)]
pub(super) struct ServedLoad {
    /// Served load of each model and endpoint.
    pub(super) by_copy: BTreeMap<ModelId, Vec<(usize, f64)>>,
    pub(super) total: f64,
}

struct Spot {
    endpoint: usize,
    load: f64,
}

/// Shares the offered load over the ready copies.
pub(super) fn serve(engines: &[FakeEngine], loads: &BTreeMap<ModelId, ModelLoad>) -> ServedLoad {
    let mut spots = ready_spots(engines, loads);
    let mut remaining = capacities(engines, &spots, loads);
    let mut unserved: BTreeMap<&ModelId, f64> =
        loads.iter().map(|(id, load)| (id, load.offered)).collect();
    for _ in 0..ROUNDS {
        share_once(&mut spots, &mut remaining, &mut unserved, loads);
    }
    let by_copy: BTreeMap<ModelId, Vec<(usize, f64)>> = spots
        .into_iter()
        .map(|(id, spots)| {
            let loads = spots.into_iter().map(|spot| (spot.endpoint, spot.load));
            (id.clone(), loads.collect())
        })
        .collect();
    let total = by_copy.values().flatten().map(|(_, load)| load).sum();
    ServedLoad { by_copy, total }
}

fn ready_spots<'a>(
    engines: &[FakeEngine],
    loads: &'a BTreeMap<ModelId, ModelLoad>,
) -> BTreeMap<&'a ModelId, Vec<Spot>> {
    let mut spots: BTreeMap<&ModelId, Vec<Spot>> = BTreeMap::new();
    for (endpoint, engine) in engines.iter().enumerate() {
        for ((model, _), copy) in &engine.copies {
            let Some((id, _)) = loads.get_key_value(model) else {
                continue;
            };
            let held = spots.entry(id).or_default();
            let is_known = held.last().is_some_and(|spot| spot.endpoint == endpoint);
            if copy.state == ModelState::Ready && !is_known {
                held.push(Spot {
                    endpoint,
                    load: 0.0,
                });
            }
        }
    }
    spots
}

fn capacities(
    engines: &[FakeEngine],
    spots: &BTreeMap<&ModelId, Vec<Spot>>,
    loads: &BTreeMap<ModelId, ModelLoad>,
) -> Vec<f64> {
    let mut busy = vec![0.0_f64; engines.len()];
    for (id, held) in spots {
        if loads.get(*id).is_some_and(|load| load.offered > 0.0) {
            for spot in held {
                busy[spot.endpoint] += 1.0;
            }
        }
    }
    engines
        .iter()
        .zip(busy)
        .map(|(engine, busy)| {
            let others = (busy - 1.0).max(0.0);
            let share = (1.0 - INTERFERENCE * others).max(INTERFERENCE_FLOOR);
            f64::from(engine.accelerators) * 1_000.0 * BOUNDED_SHARE * share
        })
        .collect()
}

fn share_once(
    spots: &mut BTreeMap<&ModelId, Vec<Spot>>,
    remaining: &mut [f64],
    unserved: &mut BTreeMap<&ModelId, f64>,
    loads: &BTreeMap<ModelId, ModelLoad>,
) {
    let mut asked = vec![0.0_f64; remaining.len()];
    let mut wishes: Vec<(&ModelId, usize, f64)> = Vec::new();
    for (id, held) in spots.iter() {
        let limit = loads.get(*id).map_or(0.0, |load| load.replica_limit);
        let left = unserved.get(id).copied().unwrap_or(0.0);
        let room: Vec<f64> = held
            .iter()
            .map(|spot| (limit - spot.load).min(remaining[spot.endpoint]).max(0.0))
            .collect();
        let total: f64 = room.iter().sum();
        if left <= 0.001 || total <= 0.001 {
            continue;
        }
        for (index, room) in room.into_iter().enumerate() {
            let wish = (left * room / total).min(room);
            asked[held[index].endpoint] += wish;
            wishes.push((id, index, wish));
        }
    }
    let granted: Vec<f64> = asked
        .iter()
        .zip(remaining.iter())
        .map(|(&asked, &left)| {
            if asked > left.max(0.0) {
                left.max(0.0) / asked
            } else {
                1.0
            }
        })
        .collect();
    for (id, index, wish) in wishes {
        let Some(spot) = spots.get_mut(id).and_then(|held| held.get_mut(index)) else {
            continue;
        };
        let taken = wish * granted[spot.endpoint];
        spot.load += taken;
        remaining[spot.endpoint] -= taken;
        if let Some(left) = unserved.get_mut(id) {
            *left -= taken;
        }
    }
}
