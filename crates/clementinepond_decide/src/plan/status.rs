//! Plan as published to operators and to routing.

use super::planner::UnplacedItem;
use super::{EndpointAction, HoldingKey, OrderNumber, PlacementGoal, PlanEffect, PlanState};
use clementinepond_types::{EndpointId, FencingNumber, LocalTime};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Order that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PendingOrder {
    /// Endpoint that receives the order.
    pub endpoint: EndpointId,
    /// Number of the order.
    pub number: OrderNumber,
    /// Load, unload or role change to carry out.
    pub action: EndpointAction,
    /// Reason, for operators.
    pub reason: Box<str>,
}

/// Recently ordered move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RecentMove {
    /// Time of the order on this VM's clock.
    pub at: LocalTime,
    /// Endpoint that received the order.
    pub endpoint: EndpointId,
    /// Load or unload ordered.
    pub action: EndpointAction,
    /// Reason, for operators.
    pub reason: Box<str>,
}

/// Plan as published to operators and to routing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlanStatus {
    /// Phase of the lease on this VM.
    pub phase: &'static str,
    /// Fencing number of this VM's orders; none unless it holds the lease.
    pub fencing: Option<FencingNumber>,
    /// Orders that may still take effect.
    pub pending: Vec<PendingOrder>,
    /// Recent moves, the newest last; at most 64.
    pub recent: Vec<RecentMove>,
    /// Copies that routing must not choose any more, by endpoint.
    pub withdrawn: BTreeMap<EndpointId, BTreeSet<HoldingKey>>,
    /// Endpoints whose state no report has confirmed yet; empty unless this VM holds
    /// the lease.
    pub unsettled: BTreeSet<EndpointId>,
    /// Loads that wait for free memory or for the weight store.
    pub goals: Vec<PlacementGoal>,
    /// Models and adapters that could not be placed, with the reason.
    pub unplaced: Vec<UnplacedItem>,
}

/// Publishes the plan if it has changed.
pub(super) fn publish(state: &mut PlanState, effects: &mut Vec<PlanEffect>) {
    let status = build(state);
    if state.published.as_ref() == Some(&status) {
        return;
    }
    state.published = Some(status.clone());
    effects.push(PlanEffect::Publish {
        status: Box::new(status),
    });
}

fn build(state: &PlanState) -> PlanStatus {
    let holds = state.phase.term().is_some();
    PlanStatus {
        phase: state.phase.name(),
        fencing: state.phase.term().map(|term| term.fencing),
        pending: pending(state),
        recent: state.recent.iter().cloned().collect(),
        withdrawn: withdrawn(state),
        unsettled: state
            .endpoints
            .iter()
            .filter(|(_, entry)| holds && !entry.confirmed)
            .map(|(id, _)| id.clone())
            .collect(),
        goals: state.goals.clone(),
        unplaced: state.unplaced.clone(),
    }
}

fn pending(state: &PlanState) -> Vec<PendingOrder> {
    state
        .endpoints
        .iter()
        .flat_map(|(endpoint, entry)| {
            entry
                .ledger
                .iter()
                .map(move |(number, order)| PendingOrder {
                    endpoint: endpoint.clone(),
                    number,
                    action: order.action.clone(),
                    reason: order.reason.clone(),
                })
        })
        .collect()
}

fn withdrawn(state: &PlanState) -> BTreeMap<EndpointId, BTreeSet<HoldingKey>> {
    state
        .endpoints
        .iter()
        .map(|(endpoint, entry)| {
            let draining = entry.draining.keys().cloned();
            let unloaded = entry
                .ledger
                .iter()
                .filter_map(|(_, order)| order.action.unloaded());
            (endpoint.clone(), draining.chain(unloaded).collect())
        })
        .filter(|(_, keys): &(EndpointId, BTreeSet<HoldingKey>)| !keys.is_empty())
        .collect()
}
