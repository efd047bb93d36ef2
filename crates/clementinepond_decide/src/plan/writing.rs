//! Staging, storing and sending of orders: an order's intent is stored before the
//! order is sent.

use super::lease::{LeasePhase, PendingWrite};
use super::state::StagedOrder;
use super::{
    EndpointAction, EndpointEntry, OrderIntent, PlanEffect, PlanMutation, PlanObject, PlanState,
    PossibleOrder,
};
use clementinepond_types::{EndpointId, FencingNumber, LocalTime, TimeSpan};

/// Number of renewals that fit into one lease.
const RENEWALS_PER_LEASE: u64 = 3;

/// Most goals stored in the object, for operators.
const MAX_STORED_GOALS: usize = 16;

/// Returns the time between two model loads at this data centre's rate.
pub(super) fn load_interval(state: &PlanState) -> TimeSpan {
    let hourly = u64::from(state.catalogue.share.loads_an_hour.max(1));
    TimeSpan::from_secs(3_600).fraction(1, hourly)
}

/// Returns whether orders may be sent to an endpoint in this phase.
///
/// Orders wait for the phase `Holding` also if the endpoint checks fencing numbers,
/// since an endpoint that restarts forgets the largest one it has seen.
pub(super) fn may_order(phase: &LeasePhase, entry: &EndpointEntry) -> bool {
    entry.spec.is_some() && matches!(phase, LeasePhase::Holding(_))
}

/// Adds an order to the endpoint's ledger and queues it until its intent is stored.
pub(super) fn stage(
    state: &mut PlanState,
    endpoint: &EndpointId,
    action: EndpointAction,
    reason: Box<str>,
) {
    let Some(entry) = state.endpoints.get_mut(endpoint) else {
        return;
    };
    let number = entry.assign_number(&mut state.next_number);
    entry.ledger.reserve(
        number,
        PossibleOrder {
            action: action.clone(),
            reason: reason.clone(),
            window_end: LocalTime::NEVER,
            barrier: None,
        },
    );
    state.staged.push(StagedOrder {
        endpoint: endpoint.clone(),
        number,
        action,
        reason,
    });
}

/// Writes the object if orders are staged, the lease is due for renewal or a release
/// is under way.
pub(super) fn write_if_due(state: &mut PlanState, now: LocalTime, effects: &mut Vec<PlanEffect>) {
    if state.settings.mutated(PlanMutation::SendBeforeIntent) {
        let staged = std::mem::take(&mut state.staged);
        effects.extend(
            staged
                .into_iter()
                .filter_map(|order| issue(state, order, now)),
        );
    }
    let Some(term) = state.phase.term() else {
        return;
    };
    let renewal = state.settings.lease.fraction(1, RENEWALS_PER_LEASE);
    let is_renewal_due = now >= term.written_at + renewal;
    let has_orders = !state.staged.is_empty() && now >= state.next_write_at;
    if is_renewal_due || has_orders || state.releasing {
        effects.extend(write(state, now));
    }
}

/// Writes the object, unless a write is pending or the lease has expired.
pub(super) fn write(state: &mut PlanState, now: LocalTime) -> Option<PlanEffect> {
    let orders = intents(state);
    let term = state.phase.term_mut()?;
    if term.write.is_some() || now >= term.deadline {
        return None;
    }
    term.renewals += 1;
    term.written_at = now;
    let object = PlanObject {
        holder: (!state.releasing).then(|| state.vm.clone()),
        nonce: term.nonce,
        fencing: term.fencing,
        renewals: term.renewals,
        lease: state.settings.lease,
        arrival_margin: term.arrival_margin,
        order_span: term.order_span,
        orders,
        goals: state.goals.iter().take(MAX_STORED_GOALS).cloned().collect(),
    };
    let if_version = term.version;
    term.write = Some(PendingWrite {
        object: object.clone(),
        if_version,
        sent_at: now,
        answer_lost: false,
    });
    state.next_write_at = now + state.settings.write_interval;
    Some(PlanEffect::Store {
        data_centre: state.data_centre.clone(),
        object: Box::new(object),
        if_version,
    })
}

/// Returns the intents of every order that may still take effect or is staged.
fn intents(state: &PlanState) -> Vec<OrderIntent> {
    state
        .endpoints
        .iter()
        .flat_map(|(endpoint, entry)| {
            entry.ledger.iter().map(move |(number, order)| OrderIntent {
                endpoint: endpoint.clone(),
                number,
                action: order.action.clone(),
                reason: order.reason.clone(),
            })
        })
        .collect()
}

/// Sends the staged orders whose intents are stored.
pub(super) fn issue_written(
    state: &mut PlanState,
    written: &[OrderIntent],
    now: LocalTime,
) -> Vec<PlanEffect> {
    let staged = std::mem::take(&mut state.staged);
    let (ready, waiting) = staged.into_iter().partition(|order| {
        written
            .iter()
            .any(|intent| intent.number == order.number && intent.endpoint == order.endpoint)
    });
    state.staged = waiting;
    let ready: Vec<StagedOrder> = ready;
    ready
        .into_iter()
        .filter_map(|order| issue(state, order, now))
        .collect()
}

fn issue(state: &mut PlanState, order: StagedOrder, now: LocalTime) -> Option<PlanEffect> {
    let (fencing, deadline) = authority(state, now)?;
    let window_end = window_end(state, now);
    state.record_move(&order, now);
    let entry = state.endpoints.get_mut(&order.endpoint)?;
    entry.ledger.issue(order.number, window_end, now);
    Some(PlanEffect::Order {
        endpoint: order.endpoint,
        number: order.number,
        fencing_number: fencing,
        action: order.action,
        deadline,
    })
}

/// Returns the fencing number and the deadline of an order sent now; none if no
/// order may be sent.
fn authority(state: &PlanState, now: LocalTime) -> Option<(FencingNumber, LocalTime)> {
    let term = state.phase.term()?;
    // A release may already be stored although its reply has not arrived.
    if now >= term.deadline || state.releasing {
        return None;
    }
    if state.settings.mutated(PlanMutation::OrdersWithoutDeadline) {
        return Some((term.fencing, LocalTime::NEVER));
    }
    let deadline = term.deadline.min(now + state.settings.order_span);
    Some((term.fencing, deadline))
}

/// Returns the time after which an order sent now cannot take effect.
fn window_end(state: &PlanState, now: LocalTime) -> LocalTime {
    let span = state.settings.order_span + state.settings.arrival_margin;
    now + state.settings.lengthened(span)
}

/// Sends barriers to endpoints whose state or orders must be confirmed by a report.
pub(super) fn send_barriers(state: &mut PlanState, now: LocalTime, effects: &mut Vec<PlanEffect>) {
    let Some((fencing, deadline)) = authority(state, now) else {
        return;
    };
    let window_end = window_end(state, now);
    for (endpoint, entry) in &mut state.endpoints {
        if !may_order(&state.phase, entry) || now < entry.barrier_window_end {
            continue;
        }
        let Some(spec) = entry.spec else {
            continue;
        };
        if entry.confirmed && !entry.ledger.has_unresolved(now) {
            continue;
        }
        let number = entry.assign_number(&mut state.next_number);
        entry.ledger.record_barrier(number, now);
        entry.barrier_window_end = window_end;
        if !entry.confirmed && entry.barrier.is_none() {
            entry.barrier = Some(number);
        }
        effects.push(PlanEffect::Order {
            endpoint: endpoint.clone(),
            number,
            fencing_number: fencing,
            action: EndpointAction::SetRole { role: spec.role },
            deadline,
        });
    }
}
