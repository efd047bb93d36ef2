//! Event handler of placement.

use super::{
    DemandForecast, EndpointEntry, EndpointReport, EndpointSpec, OrderNumber, OrderReply,
    PlacementCatalogue, PlanEffect, PlanEvent, PlanMutation, PlanState, periodic, platform_reply,
};
use clementinepond_types::{EndpointId, LocalTime};

/// Applies one event to the state and returns the resulting effects.
pub fn reduce(state: &mut PlanState, event: PlanEvent, now: LocalTime) -> Vec<PlanEffect> {
    match event {
        PlanEvent::Tick { seed } => return periodic::tick(state, seed, now),
        PlanEvent::ReadReplied { reply } => return platform_reply::read_replied(state, reply, now),
        PlanEvent::StoreReplied { write, reply } => {
            return platform_reply::store_replied(state, write, reply, now);
        }
        PlanEvent::Release => return periodic::release(state, now),
        PlanEvent::ReportReceived { report } => apply_report(state, report, now),
        PlanEvent::EndpointListed { endpoint, spec } => add_endpoint(state, endpoint, spec),
        PlanEvent::EndpointGone { endpoint } => remove_endpoint(state, &endpoint),
        PlanEvent::CatalogueChanged { catalogue } => apply_catalogue(state, *catalogue),
        PlanEvent::DemandObserved { model, load } => {
            let tuning = &state.settings.tuning;
            state
                .forecasts
                .entry(model)
                .and_modify(|forecast| forecast.observe(load, now, tuning))
                .or_insert_with(|| DemandForecast::new(load, now));
        }
        PlanEvent::PeersObserved { ready } => state.peers = ready,
        PlanEvent::RosterChanged { members } => state.members = members,
        PlanEvent::OrderReplied {
            endpoint,
            number,
            reply,
        } => handle_order_reply(state, &endpoint, number, reply),
    }
    Vec::new()
}

fn apply_report(state: &mut PlanState, report: EndpointReport, now: LocalTime) {
    let Some(entry) = state.endpoints.get_mut(&report.endpoint) else {
        return;
    };
    if state.settings.mutated(PlanMutation::AcceptOldReports) {
        entry.install(report, now);
    } else {
        entry.accept(report, now);
    }
    if state.settings.mutated(PlanMutation::ForgetCopies)
        && let Some(report) = &entry.report
    {
        entry.ledger.forget_completed(report);
    }
}

fn add_endpoint(state: &mut PlanState, endpoint: EndpointId, spec: EndpointSpec) {
    state
        .endpoints
        .entry(endpoint)
        .and_modify(|entry| entry.spec = Some(spec))
        .or_insert_with(|| EndpointEntry::new(spec));
}

/// Marks an endpoint as gone.
///
/// Its ledger is kept, since the endpoint may return while orders to it are still
/// in transit.
fn remove_endpoint(state: &mut PlanState, endpoint: &EndpointId) {
    if let Some(entry) = state.endpoints.get_mut(endpoint) {
        entry.spec = None;
        entry.report = None;
        entry.draining.clear();
        entry.require_barrier();
    }
}

fn apply_catalogue(state: &mut PlanState, catalogue: PlacementCatalogue) {
    for (adapter, spec) in &catalogue.adapters {
        // An adapter keeps the largest size seen, since copies of that size may
        // still be loaded.
        let memory = state.adapter_memory.entry(adapter.clone()).or_default();
        *memory = (*memory).max(spec.memory_mib);
    }
    state
        .forecasts
        .retain(|model, _| catalogue.models.contains_key(model));
    state.catalogue = catalogue;
}

/// Ignores the reply, except in a test that removes this guard.
///
/// A reply does not prove that no copy of the order is still in transit.
fn handle_order_reply(
    state: &mut PlanState,
    endpoint: &EndpointId,
    number: OrderNumber,
    reply: OrderReply,
) {
    let is_mutated = state.settings.mutated(PlanMutation::ReleaseOnAck);
    if is_mutated
        && reply != OrderReply::Unknown
        && let Some(entry) = state.endpoints.get_mut(endpoint)
    {
        entry.ledger.forget(number);
    }
}
