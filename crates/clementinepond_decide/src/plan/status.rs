//! The plan as operators and routing see it.

use super::planner::UnplacedItem;
use super::{EndpointAction, HoldingKey, OrderNumber, PlacementGoal, PlanEffect, PlanState};
use clementinepond_types::{EndpointId, FencingNumber, LocalTime};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Order that may still take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PendingOrder {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Number of the order.
    pub number: OrderNumber,
    /// What it asks for.
    pub action: EndpointAction,
    /// Why it is given.
    pub reason: Box<str>,
}

/// Move that was ordered lately.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RecentMove {
    /// Moment of the order on this VM's clock.
    pub at: LocalTime,
    /// Endpoint.
    pub endpoint: EndpointId,
    /// What was asked for.
    pub action: EndpointAction,
    /// Why.
    pub reason: Box<str>,
}

/// The plan as operators and routing see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlanStatus {
    /// State of the lease on this VM.
    pub phase: &'static str,
    /// Fencing number of this VM's orders.
    pub fencing: Option<FencingNumber>,
    /// Orders that may still take effect.
    pub pending: Vec<PendingOrder>,
    /// Latest moves, the newest last.
    pub recent: Vec<RecentMove>,
    /// Copies that routing must no longer choose.
    pub withdrawn: BTreeMap<EndpointId, BTreeSet<HoldingKey>>,
    /// Endpoints whose state is not proved yet.
    pub unsettled: BTreeSet<EndpointId>,
    /// What the plan works towards once room and the weight store allow it.
    pub goals: Vec<PlacementGoal>,
    /// What could not be placed, and why.
    pub unplaced: Vec<UnplacedItem>,
}

/// Publishes the plan when it has changed.
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
