//! Draining of copies before their unload.
//!
//! A copy is first withdrawn from routing and unloaded only after the drain time.
//! Until then, each tick checks again that the copy is not the last ready one of a
//! required model; such a copy is returned to routing.

use super::planning::{has_other_ready_copy, required_copies};
use super::{EndpointAction, HoldingKey, PlanMutation, PlanState, writing};
use clementinepond_types::{EndpointId, LocalTime};

/// Withdraws a copy from routing and schedules its unload.
pub(super) fn begin(state: &mut PlanState, endpoint: &EndpointId, key: HoldingKey, now: LocalTime) {
    let drain = state.settings.drain;
    if let Some(entry) = state.endpoints.get_mut(endpoint) {
        entry.draining.entry(key).or_insert(now + drain);
    }
}

/// Stages the unloads that are due and returns copies that must stay to routing.
pub(super) fn finish(state: &mut PlanState, now: LocalTime) {
    let drained: Vec<(EndpointId, HoldingKey, LocalTime)> = state
        .endpoints
        .iter()
        .flat_map(|(endpoint, entry)| {
            entry
                .draining
                .iter()
                .map(|(key, due)| (endpoint.clone(), key.clone(), *due))
        })
        .collect();
    for (endpoint, key, due) in drained {
        if !is_dispensable(state, &endpoint, &key, now) {
            if let Some(entry) = state.endpoints.get_mut(&endpoint) {
                entry.draining.remove(&key);
            }
        } else if now >= due {
            unload(state, &endpoint, &key);
        }
    }
}

fn is_dispensable(
    state: &PlanState,
    endpoint: &EndpointId,
    key: &HoldingKey,
    now: LocalTime,
) -> bool {
    let settings = &state.settings;
    let is_unguarded = settings.mutated(PlanMutation::LastCopyUnprotected)
        || settings.mutated(PlanMutation::UnloadBeforeReady);
    let HoldingKey::Model(model, _) = key else {
        return true;
    };
    is_unguarded
        || !state.catalogue.models.contains_key(model)
        || required_copies(state, model) == 0
        || has_other_ready_copy(state, endpoint, key, now)
}

fn unload(state: &mut PlanState, endpoint: &EndpointId, key: &HoldingKey) {
    let Some(entry) = state.endpoints.get_mut(endpoint) else {
        return;
    };
    if !writing::may_order(&state.phase, entry) || !entry.confirmed || entry.ledger.may_unload(key)
    {
        return;
    }
    let action = match key {
        HoldingKey::Model(model, version) => EndpointAction::UnloadModel {
            model: model.clone(),
            version: version.clone(),
        },
        HoldingKey::Adapter(adapter) => EndpointAction::UnloadAdapter {
            adapter: adapter.clone(),
        },
    };
    writing::stage(state, endpoint, action, "drained".into());
}
