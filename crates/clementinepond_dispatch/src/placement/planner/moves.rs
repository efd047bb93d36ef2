//! Moves: evictions and loads of models on engines.

use super::{MoveTask, PlacementPlanner, PlannerEffect, PlannerInput};
use crate::fleet::{EndpointEntry, EnginePolicy};
use crate::load::NameHash;
use crate::placement::choose::{choose_move, load_time};
use crate::placement::demand::utilization;
use crate::placement::order::EndpointOrder;
use crate::placement::order_tracker::OrderTracker;
use crate::placement::view::{EngineView, ModelView, PlacementView};
use clementinepond_types::{EndpointId, LocalTime, ModelId, TimeSpan};

/// Time between the announcement of an unload and its order; covers the delivery of the
/// placement update to all VMs.
const UNLOAD_NOTICE: TimeSpan = TimeSpan::from_millis(300);
/// Maximum number of moves started by one search.
const MAX_MOVES_PER_SEARCH: usize = 4;
/// Time for which a model without a copy is expected to reappear without a load, since
/// endpoints list themselves within a heartbeat of their start.
const LOST_MODEL_TIMEOUT: TimeSpan = TimeSpan::from_millis(2_500);
/// Time for which a model with demand but without a copy is expected to reappear
/// without a load.
const DEMANDED_MODEL_TIMEOUT: TimeSpan = TimeSpan::from_millis(250);
/// Limit of concurrent moves that load from the weight store, as a share of the store's
/// rate times the longest load time; beyond it the store slows down all loads.
const STORE_CONCURRENCY_SHARE: f64 = 0.87;

impl PlacementPlanner {
    /// Sends the orders of the moves in progress that are due.
    pub(super) fn advance_moves(
        &mut self,
        input: &PlannerInput<'_>,
        now: LocalTime,
        effects: &mut Vec<PlannerEffect>,
    ) {
        let ids: Vec<EndpointId> = self.moves.keys().cloned().collect();
        for id in ids {
            let Some((entry, is_usable)) = input.endpoints.iter().find(|(entry, _)| entry.id == id)
            else {
                continue;
            };
            if !is_usable {
                self.moves.remove(&id);
                continue;
            }
            if let Some(order) = self.move_step(input.policy, entry, now) {
                effects.extend(self.send(entry, order, input.fence, now));
            }
        }
    }

    /// Returns the next order of a move; drops a move that is complete or whose model
    /// no longer fits.
    fn move_step(
        &mut self,
        policy: &EnginePolicy,
        entry: &EndpointEntry,
        now: LocalTime,
    ) -> Option<EndpointOrder> {
        let task = self.moves.get(&entry.id)?;
        if entry.hosted(&task.load).is_some() {
            self.moves.remove(&entry.id);
            return None;
        }
        let tracker = self.trackers.get(&entry.id)?;
        let is_order_in_progress = tracker.loading.is_some() || tracker.unloading.is_some();
        if is_order_in_progress || !tracker.is_idle(now) || tracker.order_count.is_none() {
            return None;
        }
        if now < task.unload_from {
            return None;
        }
        let remaining = task
            .unload
            .iter()
            .find(|model| entry.hosted(model).is_some());
        if let Some(model) = remaining {
            return Some(EndpointOrder::UnloadModel(model.clone()));
        }
        let needed = policy
            .model(&task.load)
            .map_or(0.0, |model| model.weights_mb);
        if free_mb(policy, entry, tracker) < needed {
            self.moves.remove(&entry.id);
            return None;
        }
        if task.from_store && !task.is_charged {
            if self.store_credit < 1.0 {
                return None;
            }
            self.store_credit -= 1.0;
        }
        let load = task.load.clone();
        if let Some(task) = self.moves.get_mut(&entry.id) {
            task.is_charged = true;
        }
        Some(EndpointOrder::LoadModel(load))
    }

    /// Records since when no usable endpoint has listed each model.
    pub(super) fn record_lost_models(&mut self, input: &PlannerInput<'_>, now: LocalTime) {
        for profile in &input.policy.models {
            let is_held = input
                .endpoints
                .iter()
                .any(|(entry, is_usable)| *is_usable && entry.hosted(&profile.id).is_some());
            if is_held {
                self.lost_since.remove(&profile.id);
            } else {
                self.lost_since.entry(profile.id.clone()).or_insert(now);
            }
        }
    }

    /// Starts the moves that the current view allows.
    pub(super) fn search_moves(
        &mut self,
        input: &PlannerInput<'_>,
        now: LocalTime,
        effects: &mut Vec<PlannerEffect>,
    ) {
        for _ in 0..MAX_MOVES_PER_SEARCH {
            let view = self.view(input, now);
            let Some(chosen) = choose_move(&view) else {
                return;
            };
            let endpoint = view.engines[chosen.engine].id.clone();
            let model = &view.models[chosen.load];
            let unload: Vec<ModelId> = chosen
                .unload
                .iter()
                .map(|&index| view.models[index].id.clone())
                .collect();
            let unload_from = if unload.is_empty() {
                now
            } else {
                now + UNLOAD_NOTICE
            };
            effects.push(PlannerEffect::MoveStarted {
                endpoint: endpoint.clone(),
                unload: unload.clone(),
                load: model.id.clone(),
                utilization_milli: (model.utilization * 1e3) as u64,
                from_store: chosen.from_store,
            });
            let task = MoveTask {
                unload,
                load: model.id.clone(),
                from_store: chosen.from_store,
                is_charged: false,
                load_time: load_time(&view.engines[chosen.engine], chosen.load, model.load_times),
                unload_from,
            };
            self.moves.insert(endpoint, task);
        }
    }

    fn view(&self, input: &PlannerInput<'_>, now: LocalTime) -> PlacementView {
        let index_of = |id: &ModelId| input.policy.models.iter().position(|model| model.id == *id);
        let is_return_expected = |id: &ModelId, has_demand: bool| {
            let timeout = if has_demand {
                DEMANDED_MODEL_TIMEOUT
            } else {
                LOST_MODEL_TIMEOUT
            };
            let since = self.lost_since.get(id);
            since.is_none_or(|at| now.since(*at) < timeout)
        };
        let models = input.policy.models.iter().map(|profile| {
            let demand = input.demand.get(&NameHash::of(profile.id.as_str()));
            ModelView {
                id: profile.id.clone(),
                weights_mb: profile.weights_mb,
                utilization: demand.copied().map_or(0.0, utilization),
                has_demand: demand.is_some(),
                is_return_expected: is_return_expected(&profile.id, demand.is_some()),
                load_times: [profile.store_load, profile.disk_load, profile.memory_load],
            }
        });
        let models: Vec<ModelView> = models.collect();
        let engines = input.endpoints.iter().filter_map(|(entry, is_usable)| {
            let tracker = self.trackers.get(&entry.id)?;
            Some(self.engine_view(input.policy, entry, *is_usable, tracker, &index_of, now))
        });
        let store_loads = self.moves.values().filter(|task| task.from_store).count();
        let longest_load = input
            .policy
            .models
            .iter()
            .map(|model| model.store_load)
            .max();
        let seconds = longest_load.map_or(0.0, |duration| duration.micros() as f64 / 1e6);
        let max_store_loads =
            (input.policy.loads_per_s * seconds * STORE_CONCURRENCY_SHARE).max(1.0);
        let is_unlimited = input.policy.loads_per_s <= 0.0;
        PlacementView {
            engines: engines.collect(),
            models,
            may_load_from_store: is_unlimited || (store_loads + 1) as f64 <= max_store_loads,
        }
    }

    fn engine_view(
        &self,
        policy: &EnginePolicy,
        entry: &EndpointEntry,
        is_usable: bool,
        tracker: &OrderTracker,
        index_of: &dyn Fn(&ModelId) -> Option<usize>,
        now: LocalTime,
    ) -> EngineView {
        let task = self.moves.get(&entry.id);
        let is_closing = |id: &ModelId| task.is_some_and(|task| task.unload.contains(id));
        let age = |id: &ModelId| {
            let arrived_at = tracker.arrived_at.get(id).copied();
            now.since(arrived_at.unwrap_or(LocalTime::ORIGIN))
        };
        let models: Vec<(usize, TimeSpan)> = entry
            .models
            .iter()
            .filter(|hosted| !is_closing(&hosted.id))
            .filter_map(|hosted| Some((index_of(&hosted.id)?, age(&hosted.id))))
            .collect();
        let held = tracker.possible_models(entry);
        let staying = held.iter().filter(|id| !is_closing(id));
        let mut possible: Vec<usize> = staying.filter_map(index_of).collect();
        possible.extend(task.and_then(|task| index_of(&task.load)));
        possible.sort_unstable();
        possible.dedup();
        EngineView {
            id: entry.id.clone(),
            is_usable,
            is_moving: task.is_some()
                || tracker.loading.is_some()
                || tracker.unloading.is_some()
                || tracker.needs_status(entry),
            free_mb: free_mb(policy, entry, tracker),
            models,
            possible,
            in_memory: entry.in_memory.iter().filter_map(index_of).collect(),
            on_disk: entry.on_disk.iter().filter_map(index_of).collect(),
        }
    }
}

/// Returns the memory that stays free even if all pending loads succeed and all adapter
/// slots are taken by the largest adapter, in megabytes.
fn free_mb(policy: &EnginePolicy, entry: &EndpointEntry, tracker: &OrderTracker) -> f64 {
    let size = |id: &ModelId| policy.model(id).map_or(0.0, |model| model.weights_mb);
    let held: f64 = tracker.possible_models(entry).iter().map(size).sum();
    let largest_adapter = policy
        .models
        .iter()
        .map(|model| model.adapter_mb)
        .fold(0.0, f64::max);
    let adapters = f64::from(policy.adapter_slots) * largest_adapter;
    policy.weights_mb - adapters - held
}
