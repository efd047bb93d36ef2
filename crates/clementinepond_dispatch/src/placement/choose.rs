//! Selection of the next placement move.

use super::view::{EngineView, PlacementView};
use clementinepond_types::TimeSpan;

/// Utilization per copy above which a model gets another copy, in engines.
const COPY_UTILIZATION_LIMIT: f64 = 0.22;
/// Utilization above which a model with a single copy gets a second one, in engines;
/// low, since losing the only copy would stop the model's requests for the duration of
/// a load.
const SINGLE_COPY_UTILIZATION_LIMIT: f64 = 0.08;
/// Highest utilization per copy that a model may reach by an eviction, as a share of
/// that of the model to load. Keeps moves from oscillating.
const EVICTION_UTILIZATION_RATIO: f64 = 0.6;
/// Time since its arrival before a copy may be evicted.
const MIN_EVICTION_AGE: TimeSpan = TimeSpan::from_secs(4);

/// Move that evicts copies from an engine and then loads a model there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementMove {
    /// Index into the view's engines.
    pub engine: usize,
    /// Indices of the models to unload first.
    pub unload: Vec<usize>,
    /// Index of the model to load.
    pub load: usize,
    /// Whether the weights are loaded from the weight store.
    pub from_store: bool,
}

/// Returns the possible move of the highest priority, or `None`.
///
/// Models without a copy come first, then those with the highest utilization per copy.
#[must_use]
pub fn choose_move(view: &PlacementView) -> Option<PlacementMove> {
    let copies = count_copies(view);
    let serving = count_serving(view);
    let mut candidates: Vec<(bool, f64, usize)> = view
        .models
        .iter()
        .enumerate()
        .filter_map(|(index, model)| match copies[index] {
            0 if model.is_return_expected => None,
            0 => Some((
                true,
                model.utilization + f64::from(u8::from(model.has_demand)),
                index,
            )),
            count => {
                let copy_utilization = model.utilization / count as f64;
                let limit = if count == 1 {
                    SINGLE_COPY_UTILIZATION_LIMIT
                } else {
                    COPY_UTILIZATION_LIMIT
                };
                (copy_utilization > limit).then_some((false, copy_utilization, index))
            }
        })
        .collect();
    candidates.sort_by(|a, b| b.0.cmp(&a.0).then(b.1.total_cmp(&a.1)));
    candidates
        .into_iter()
        .find_map(|(has_no_copy, copy_utilization, model)| {
            let limit = if has_no_copy {
                f64::INFINITY
            } else {
                copy_utilization * EVICTION_UTILIZATION_RATIO
            };
            best_engine(view, model, limit, &serving)
        })
}

/// Counts the copies of each model on usable engines, including those that may come to
/// be loaded.
fn count_copies(view: &PlacementView) -> Vec<usize> {
    let mut copies = vec![0; view.models.len()];
    for engine in view.engines.iter().filter(|engine| engine.is_usable) {
        for &model in &engine.possible {
            copies[model] += 1;
        }
    }
    copies
}

/// Counts the copies of each model that serve on usable engines and stay.
fn count_serving(view: &PlacementView) -> Vec<usize> {
    let mut copies = vec![0; view.models.len()];
    for engine in view.engines.iter().filter(|engine| engine.is_usable) {
        for &(model, _) in &engine.models {
            copies[model] += 1;
        }
    }
    copies
}

/// Returns the move of the lowest cost that loads a model.
///
/// `limit` is the highest utilization per copy that an eviction may cause.
fn best_engine(
    view: &PlacementView,
    model: usize,
    limit: f64,
    serving: &[usize],
) -> Option<PlacementMove> {
    let mut best: Option<(f64, PlacementMove)> = None;
    for (index, engine) in view.engines.iter().enumerate() {
        if !engine.is_usable || engine.is_moving || engine.possible.contains(&model) {
            continue;
        }
        let is_warm = engine.in_memory.contains(&model) || engine.on_disk.contains(&model);
        if !is_warm && !view.may_load_from_store {
            continue;
        }
        let Some((unload, worst_utilization)) =
            select_evictions(view, engine, model, limit, serving)
        else {
            continue;
        };
        let duration = load_time(engine, model, view.models[model].load_times);
        let seconds = duration.micros() as f64 / 1e6;
        let staying_utilization: f64 = engine
            .models
            .iter()
            .filter(|(held, _)| !unload.contains(held))
            .map(|(held, _)| view.models[*held].utilization / serving[*held].max(1) as f64)
            .sum();
        // In engines: 0.2 per second of loading and 0.1 per evicted copy.
        let cost =
            worst_utilization + seconds * 0.2 + staying_utilization + 0.1 * unload.len() as f64;
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            let chosen = PlacementMove {
                engine: index,
                unload,
                load: model,
                from_store: !is_warm,
            };
            best = Some((cost, chosen));
        }
    }
    best.map(|(_, chosen)| chosen)
}

/// Selects the copies to evict from an engine so that a model fits, or `None` if it
/// cannot.
///
/// Returns them with the highest utilization per copy that the evictions cause.
fn select_evictions(
    view: &PlacementView,
    engine: &EngineView,
    model: usize,
    limit: f64,
    serving: &[usize],
) -> Option<(Vec<usize>, f64)> {
    let needed = view.models[model].weights_mb;
    let mut free = engine.free_mb;
    let mut unload = Vec::new();
    let mut worst_utilization = 0.0_f64;
    let mut victims: Vec<(f64, usize)> = engine
        .models
        .iter()
        .filter(|(held, age)| serving[*held] > 1 && *age >= MIN_EVICTION_AGE)
        .map(|(held, _)| {
            let left = (serving[*held] - 1) as f64;
            (view.models[*held].utilization / left, *held)
        })
        .filter(|(copy_utilization, _)| *copy_utilization <= limit)
        .collect();
    victims.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (copy_utilization, victim) in victims {
        if free >= needed {
            break;
        }
        free += view.models[victim].weights_mb;
        worst_utilization = worst_utilization.max(copy_utilization);
        unload.push(victim);
    }
    (free >= needed).then_some((unload, worst_utilization))
}

/// Returns an engine's load time for a model, given the times from the weight store,
/// from disk and from host memory.
pub(super) fn load_time(engine: &EngineView, model: usize, times: [TimeSpan; 3]) -> TimeSpan {
    let [store, disk, memory] = times;
    if engine.in_memory.contains(&model) {
        memory
    } else if engine.on_disk.contains(&model) {
        disk
    } else {
        store
    }
}
