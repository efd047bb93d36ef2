//! Input for the planner and the start of its moves.

use super::planner::{
    self, AdapterNeed, CopyState, EndpointView, HoldingView, ModelNeed, MoveBudget, PlanOutcome,
    PlanProblem,
};
use super::{
    EndpointAction, EndpointEntry, EndpointReport, HoldingKey, ModelState, PlacementGoal,
    PlanMutation, PlanState, draining, writing,
};
use clementinepond_types::{AdapterId, EndpointId, LocalTime, ModelId};
use std::collections::BTreeMap;

/// Runs the planner and starts the moves that it returns.
pub(super) fn plan_moves(state: &mut PlanState, now: LocalTime) {
    let problem = problem(state, now);
    let outcome = planner::plan(&problem);
    start_moves(state, outcome, now);
}

fn start_moves(state: &mut PlanState, outcome: PlanOutcome, now: LocalTime) {
    for planned in outcome.moves {
        if let Some(key) = planned.action.unloaded() {
            draining::begin(state, &planned.endpoint, key, now);
            continue;
        }
        if let Some((HoldingKey::Model(..), _)) = planned.action.loaded() {
            count_load(state, now);
        }
        if !fits(state, &planned.endpoint, &planned.action) {
            continue;
        }
        let reason = planned.reason.to_string().into();
        writing::stage(state, &planned.endpoint, planned.action, reason);
    }
    state.goals = outcome
        .goals
        .into_iter()
        .map(|planned| PlacementGoal {
            endpoint: planned.endpoint,
            action: planned.action,
            reason: planned.reason.to_string().into(),
        })
        .collect();
    state.unplaced = outcome.unplaced;
}

/// Counts a model load against the weight store's rate.
///
/// Loads left unused during the last plan interval may be started later.
fn count_load(state: &mut PlanState, now: LocalTime) {
    let interval = state.settings.plan_interval;
    let earliest = LocalTime::ORIGIN + now.since(LocalTime::ORIGIN + interval);
    state.next_load_at = state.next_load_at.max(earliest) + writing::load_interval(state);
}

/// Returns whether the endpoint's memory suffices for a load on top of its possible
/// memory.
fn fits(state: &PlanState, endpoint: &EndpointId, action: &EndpointAction) -> bool {
    let Some((_, memory)) = action.loaded() else {
        return true;
    };
    let possible = state.possible_memory(endpoint);
    let report = state
        .endpoints
        .get(endpoint)
        .and_then(|entry| entry.report.as_ref());
    report
        .zip(possible)
        .is_some_and(|(report, possible)| possible + memory <= report.memory_mib)
}

/// Returns the number of model loads that the weight store's rate allows now.
fn due_loads(state: &PlanState, now: LocalTime) -> u32 {
    let interval = writing::load_interval(state).micros().max(1);
    if now < state.next_load_at {
        return 0;
    }
    let earliest = LocalTime::ORIGIN + now.since(LocalTime::ORIGIN + state.settings.plan_interval);
    let from = state.next_load_at.max(earliest);
    u32::try_from(now.since(from).micros() / interval + 1).unwrap_or(u32::MAX)
}

fn problem(state: &PlanState, now: LocalTime) -> PlanProblem {
    let endpoints: BTreeMap<EndpointId, EndpointView> = state
        .endpoints
        .iter()
        .filter_map(|(id, entry)| Some((id.clone(), endpoint_view(state, entry, now)?)))
        .collect();
    PlanProblem {
        budget: budget(state, &endpoints, now),
        endpoints,
        models: state
            .catalogue
            .models
            .keys()
            .filter_map(|id| Some((id.clone(), model_need(state, id)?)))
            .collect(),
        adapters: state
            .catalogue
            .adapters
            .iter()
            .map(|(id, spec)| {
                let need = AdapterNeed {
                    model: spec.model.clone(),
                    memory: spec.memory_mib,
                };
                (id.clone(), need)
            })
            .collect(),
        exceptions: state.catalogue.exceptions.clone(),
        tuning: state.settings.tuning.clone(),
        arriving_counts_as_ready: state.settings.mutated(PlanMutation::UnloadBeforeReady),
        last_copy_unprotected: state.settings.mutated(PlanMutation::LastCopyUnprotected),
    }
}

fn model_need(state: &PlanState, id: &ModelId) -> Option<ModelNeed> {
    let spec = state.catalogue.models.get(id)?;
    let tuning = &state.settings.tuning;
    let forecast = state.forecasts.get(id);
    Some(ModelNeed {
        version: spec.version.clone(),
        memory: spec.memory_mib,
        priority: spec.priority,
        replica_limit: to_float(spec.replica_limit.milli()),
        min_copies: required_copies(state, id),
        rendezvous_rank: state.catalogue.rendezvous_rank(id, &state.data_centre),
        load: forecast.map_or(0.0, |forecast| forecast.expected(tuning)),
        recent_peak: forecast.map_or(0.0, |forecast| forecast.recent_peak()),
    })
}

#[expect(clippy::cast_precision_loss, reason = "loads are far below 2^52")]
fn to_float(milli: u64) -> f64 {
    milli as f64
}

/// Returns how many copies of a model this data centre must keep: zero or one.
///
/// A resident model always needs one. Any other model needs none if a reachable
/// data centre has it ready and either precedes this one in the model's rendezvous
/// order or no endpoint here reports a copy. The first of the data centres that
/// have a copy therefore never unloads its last one.
pub(super) fn required_copies(state: &PlanState, model: &ModelId) -> u32 {
    let Some(spec) = state.catalogue.models.get(model) else {
        return 0;
    };
    let is_kept_elsewhere = state.peers.iter().any(|(peer, ready)| {
        ready.contains(model)
            && (!holds_copy(state, model)
                || state.catalogue.precedes(model, peer, &state.data_centre))
    });
    u32::from(spec.resident || !is_kept_elsewhere)
}

/// Returns whether any endpoint of this data centre reports a copy, in any state.
fn holds_copy(state: &PlanState, model: &ModelId) -> bool {
    state
        .endpoints
        .values()
        .filter_map(|entry| entry.report.as_ref())
        .any(|report| report.models.iter().any(|held| held.model == *model))
}

fn endpoint_view(state: &PlanState, entry: &EndpointEntry, now: LocalTime) -> Option<EndpointView> {
    let spec = entry.spec?;
    let report = entry.report.as_ref()?;
    let is_serving = is_serving(state, entry, report, now);
    Some(EndpointView {
        memory: report.memory_mib,
        possible: entry.ledger.possible(report, &state.adapter_memory),
        accelerators: spec.accelerators,
        accepting: is_serving && entry.confirmed && writing::may_order(&state.phase, entry),
        holdings: holdings(entry, report, is_serving),
        adapters: adapters(entry, report),
    })
}

fn is_serving(
    state: &PlanState,
    entry: &EndpointEntry,
    report: &EndpointReport,
    now: LocalTime,
) -> bool {
    !report.draining && now < entry.reported_at + state.settings.report_timeout
}

fn copy_state(entry: &EndpointEntry, key: &HoldingKey, state: ModelState) -> CopyState {
    let may_leave = entry.draining.contains_key(key) || entry.ledger.may_unload(key);
    match state {
        _ if may_leave => CopyState::Leaving,
        ModelState::Loading => CopyState::Arriving,
        ModelState::Ready => CopyState::Ready,
        ModelState::Draining => CopyState::Leaving,
    }
}

fn holdings(entry: &EndpointEntry, report: &EndpointReport, is_serving: bool) -> Vec<HoldingView> {
    let mut holdings: Vec<HoldingView> = report
        .models
        .iter()
        .map(|model| {
            let key = HoldingKey::Model(model.model.clone(), model.version.clone());
            let state = copy_state(entry, &key, model.state);
            HoldingView {
                model: model.model.clone(),
                version: model.version.clone(),
                state: if is_serving {
                    state
                } else {
                    CopyState::Leaving
                },
                memory: model.memory_mib,
            }
        })
        .collect();
    for (_, order) in entry.ledger.iter() {
        let Some((key, memory)) = order.action.loaded() else {
            continue;
        };
        let is_listed = report.lists(&key);
        let HoldingKey::Model(model, version) = key else {
            continue;
        };
        let is_known = holdings
            .iter()
            .any(|holding| holding.model == model && holding.version == version);
        if !is_listed && !is_known {
            holdings.push(HoldingView {
                model,
                version,
                state: CopyState::Arriving,
                memory,
            });
        }
    }
    holdings
}

fn adapters(entry: &EndpointEntry, report: &EndpointReport) -> BTreeMap<AdapterId, CopyState> {
    let mut adapters: BTreeMap<AdapterId, CopyState> = report
        .adapters
        .iter()
        .map(|held| {
            let key = HoldingKey::Adapter(held.adapter.clone());
            (
                held.adapter.clone(),
                copy_state(entry, &key, ModelState::Ready),
            )
        })
        .collect();
    for (_, order) in entry.ledger.iter() {
        if let Some((HoldingKey::Adapter(adapter), _)) = order.action.loaded() {
            adapters.entry(adapter).or_insert(CopyState::Arriving);
        }
    }
    adapters
}

/// Returns the number of loads that may start now within the weight store's share.
fn budget(
    state: &PlanState,
    endpoints: &BTreeMap<EndpointId, EndpointView>,
    now: LocalTime,
) -> MoveBudget {
    if state.settings.mutated(PlanMutation::IgnoreStoreShare) {
        return MoveBudget {
            loads: u32::MAX,
            adapters: u32::MAX,
        };
    }
    let share = state.catalogue.share;
    let arriving = |state: &CopyState| *state == CopyState::Arriving;
    let loads = endpoints
        .values()
        .flat_map(|view| &view.holdings)
        .filter(|holding| arriving(&holding.state))
        .count();
    let adapters = endpoints
        .values()
        .flat_map(|view| view.adapters.values())
        .filter(|state| arriving(state))
        .count();
    let open = share
        .loads_at_once
        .saturating_sub(u32::try_from(loads).unwrap_or(u32::MAX));
    MoveBudget {
        loads: due_loads(state, now).min(open),
        adapters: share
            .adapters_at_once
            .saturating_sub(u32::try_from(adapters).unwrap_or(u32::MAX)),
    }
}

/// Returns whether another copy of the same model, of any version, is ready on a
/// confirmed endpoint whose report is not outdated; always false for an adapter.
pub(super) fn has_other_ready_copy(
    state: &PlanState,
    endpoint: &EndpointId,
    key: &HoldingKey,
    now: LocalTime,
) -> bool {
    let HoldingKey::Model(model, _) = key else {
        return false;
    };
    state.endpoints.iter().any(|(id, entry)| {
        let Some(report) = &entry.report else {
            return false;
        };
        entry.spec.is_some()
            && entry.confirmed
            && is_serving(state, entry, report, now)
            && report.models.iter().any(|held| {
                let held_key = HoldingKey::Model(held.model.clone(), held.version.clone());
                let is_other = id != endpoint || held_key != *key;
                held.model == *model
                    && is_other
                    && copy_state(entry, &held_key, held.state) == CopyState::Ready
            })
    })
}
