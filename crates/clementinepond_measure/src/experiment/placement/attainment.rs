//! Model of the load that is served within the latency bounds.
//!
//! An endpoint meets the bounds up to a fixed share of its accelerators'
//! capacity, and interference reduces that share for each additional busy
//! model. The load of a model is divided among its ready copies in rounds, in
//! proportion to their headroom, which the copy's own limit and the remaining
//! capacity of its endpoint bound.

use super::fake::FakeEngine;
use clementinepond_decide::plan::ModelState;
use clementinepond_types::ModelId;
use std::collections::BTreeMap;

/// Share of an endpoint's capacity up to which requests meet their latency bounds.
const BOUNDED_SHARE: f64 = 0.9;
/// Share of capacity lost for each busy model on an endpoint after the first.
const INTERFERENCE: f64 = 0.03;
/// Minimum share of capacity that remains under interference.
const INTERFERENCE_FLOOR: f64 = 0.6;
/// Number of rounds in which load is divided among copies.
const ALLOCATION_ROUNDS: usize = 8;

/// Offered load of one model and limit of each copy, in thousandths of an accelerator.
#[derive(Debug, Clone, Copy)]
pub(super) struct ModelLoad {
    pub(super) offered: f64,
    pub(super) replica_limit: f64,
}

/// Load served at one time, in thousandths of an accelerator.
#[derive(Debug)]
pub(super) struct ServedLoad {
    /// Served load by model, as pairs of endpoint index and load.
    pub(super) by_copy: BTreeMap<ModelId, Vec<(usize, f64)>>,
    pub(super) total: f64,
}

struct Replica {
    endpoint: usize,
    load: f64,
}

/// Divides the offered load among the ready copies.
pub(super) fn serve(engines: &[FakeEngine], loads: &BTreeMap<ModelId, ModelLoad>) -> ServedLoad {
    let mut replicas = ready_replicas(engines, loads);
    let mut remaining = capacities(engines, &replicas, loads);
    let mut unserved: BTreeMap<&ModelId, f64> =
        loads.iter().map(|(id, load)| (id, load.offered)).collect();
    for _ in 0..ALLOCATION_ROUNDS {
        allocate_round(&mut replicas, &mut remaining, &mut unserved, loads);
    }
    let by_copy: BTreeMap<ModelId, Vec<(usize, f64)>> = replicas
        .into_iter()
        .map(|(id, replicas)| {
            let loads = replicas
                .into_iter()
                .map(|replica| (replica.endpoint, replica.load));
            (id.clone(), loads.collect())
        })
        .collect();
    let total = by_copy.values().flatten().map(|(_, load)| load).sum();
    ServedLoad { by_copy, total }
}

fn ready_replicas<'a>(
    engines: &[FakeEngine],
    loads: &'a BTreeMap<ModelId, ModelLoad>,
) -> BTreeMap<&'a ModelId, Vec<Replica>> {
    let mut replicas: BTreeMap<&ModelId, Vec<Replica>> = BTreeMap::new();
    for (endpoint, engine) in engines.iter().enumerate() {
        for ((model, _), copy) in &engine.copies {
            let Some((id, _)) = loads.get_key_value(model) else {
                continue;
            };
            let held = replicas.entry(id).or_default();
            let is_known = held
                .last()
                .is_some_and(|replica| replica.endpoint == endpoint);
            if copy.state == ModelState::Ready && !is_known {
                held.push(Replica {
                    endpoint,
                    load: 0.0,
                });
            }
        }
    }
    replicas
}

fn capacities(
    engines: &[FakeEngine],
    replicas: &BTreeMap<&ModelId, Vec<Replica>>,
    loads: &BTreeMap<ModelId, ModelLoad>,
) -> Vec<f64> {
    let mut busy = vec![0.0_f64; engines.len()];
    for (id, held) in replicas {
        if loads.get(*id).is_some_and(|load| load.offered > 0.0) {
            for replica in held {
                busy[replica.endpoint] += 1.0;
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

fn allocate_round(
    replicas: &mut BTreeMap<&ModelId, Vec<Replica>>,
    remaining: &mut [f64],
    unserved: &mut BTreeMap<&ModelId, f64>,
    loads: &BTreeMap<ModelId, ModelLoad>,
) {
    let mut requested = vec![0.0_f64; remaining.len()];
    let mut shares: Vec<(&ModelId, usize, f64)> = Vec::new();
    for (id, held) in replicas.iter() {
        let limit = loads.get(*id).map_or(0.0, |load| load.replica_limit);
        let left = unserved.get(id).copied().unwrap_or(0.0);
        let headroom: Vec<f64> = held
            .iter()
            .map(|replica| {
                (limit - replica.load)
                    .min(remaining[replica.endpoint])
                    .max(0.0)
            })
            .collect();
        let total: f64 = headroom.iter().sum();
        if left <= 0.001 || total <= 0.001 {
            continue;
        }
        for (index, headroom) in headroom.into_iter().enumerate() {
            let share = (left * headroom / total).min(headroom);
            requested[held[index].endpoint] += share;
            shares.push((id, index, share));
        }
    }
    let granted: Vec<f64> = requested
        .iter()
        .zip(remaining.iter())
        .map(|(&requested, &left)| {
            if requested > left.max(0.0) {
                left.max(0.0) / requested
            } else {
                1.0
            }
        })
        .collect();
    for (id, index, share) in shares {
        let Some(replica) = replicas.get_mut(id).and_then(|held| held.get_mut(index)) else {
            continue;
        };
        let served = share * granted[replica.endpoint];
        replica.load += served;
        remaining[replica.endpoint] -= served;
        if let Some(left) = unserved.get_mut(id) {
            *left -= served;
        }
    }
}
