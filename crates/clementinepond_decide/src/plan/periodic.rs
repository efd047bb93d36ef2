//! Periodic work and life cycle of the lease.

use super::catalogue::rendezvous_weight;
use super::lease::{LeasePhase, PendingWrite, PlanLease, SeenObject};
use super::{
    EndpointEntry, OrderNumber, PlanEffect, PlanMutation, PlanObject, PlanState, draining,
    planning, platform_reply, status, writing,
};
use clementinepond_types::{FencingNumber, LocalTime, ObjectVersion};

/// Runs the work that is due.
pub(super) fn tick(state: &mut PlanState, seed: u64, now: LocalTime) -> Vec<PlanEffect> {
    let mut effects = Vec::new();
    expire(state, now);
    if matches!(state.phase, LeasePhase::Follower(_)) {
        follow(state, seed, now, &mut effects);
    } else if state.phase.term().is_some() {
        hold(state, now, &mut effects);
    }
    read_again(state, now, &mut effects);
    status::publish(state, &mut effects);
    effects
}

/// Releases the lease in a graceful shutdown; staged orders are dropped.
pub(super) fn release(state: &mut PlanState, now: LocalTime) -> Vec<PlanEffect> {
    state.releasing = true;
    state.staged.clear();
    writing::write(state, now).into_iter().collect()
}

/// Becomes a follower when the lease or the first write of an acquisition has
/// expired.
fn expire(state: &mut PlanState, now: LocalTime) {
    let is_expired = state.phase.term().is_some_and(|term| now >= term.deadline);
    let is_stale = matches!(
        &state.phase,
        LeasePhase::Acquiring(lease)
            if now >= lease.state.write.sent_at + state.settings.shortened(state.settings.lease)
    );
    if is_expired || is_stale {
        state.phase = LeasePhase::Follower(PlanLease::watch(None));
        platform_reply::clear_term(state);
        state.next_read_at = now;
    }
}

fn follow(state: &mut PlanState, seed: u64, now: LocalTime, effects: &mut Vec<PlanEffect>) {
    let rank = rank(state);
    let is_candidate = rank < state.settings.candidates;
    if let LeasePhase::Follower(lease) = &state.phase
        && let Some(seen) = &lease.state.seen
        && !state.releasing
        && now >= acquirable_at(state, seen, rank)
    {
        let seen = seen.clone();
        effects.push(acquire(state, &seen, seed, now));
        return;
    }
    if now >= state.next_read_at {
        let interval = if is_candidate {
            state.settings.candidate_read_interval
        } else {
            state.settings.observer_read_interval
        };
        state.next_read_at = now + interval;
        effects.push(platform_reply::read_effect(state));
    }
}

/// Returns the number of members that come before this VM as candidates.
fn rank(state: &PlanState) -> u32 {
    let data_centre = state.data_centre.as_str();
    let own = rendezvous_weight(data_centre, state.vm.as_str());
    let earlier = state
        .members
        .iter()
        .filter(|member| rendezvous_weight(data_centre, member.as_str()) > own)
        .count();
    u32::try_from(earlier).unwrap_or(u32::MAX)
}

/// Returns the time from which this VM may acquire the lease.
fn acquirable_at(state: &PlanState, seen: &SeenObject, rank: u32) -> LocalTime {
    let stagger = state
        .settings
        .candidate_stagger
        .fraction(u64::from(rank), 1);
    let authority_end = if seen.value.is_none() && !has_no_prior_orders(state) {
        // The object was deleted, so its last holder may still issue orders.
        seen.first_seen + state.settings.lengthened(state.settings.lease)
    } else {
        seen.authority_end(&state.settings)
    };
    authority_end + stagger
}

/// Returns whether there are endpoints and all of them report that they have seen
/// no order.
fn has_no_prior_orders(state: &PlanState) -> bool {
    let is_fresh = |entry: &EndpointEntry| {
        entry.report.as_ref().is_some_and(|report| {
            report.last_order == OrderNumber::default()
                && report.fencing_number == FencingNumber::default()
        })
    };
    !state.endpoints.is_empty() && state.endpoints.values().all(is_fresh)
}

fn acquire(state: &mut PlanState, seen: &SeenObject, seed: u64, now: LocalTime) -> PlanEffect {
    let settings = &state.settings;
    let previous = seen.value.as_ref();
    let largest = state
        .endpoints
        .values()
        .filter_map(|entry| entry.report.as_ref())
        .map(|report| report.fencing_number)
        .max()
        .unwrap_or_default();
    let fencing = previous.map_or(largest, |object| object.fencing.max(largest));
    let object = PlanObject {
        holder: Some(state.vm.clone()),
        nonce: seed,
        fencing: fencing.next(),
        renewals: 1,
        lease: settings.lease,
        arrival_margin: previous.map_or(settings.arrival_margin, |object| {
            object.arrival_margin.max(settings.arrival_margin)
        }),
        order_span: previous.map_or(settings.order_span, |object| {
            object.order_span.max(settings.order_span)
        }),
        orders: previous
            .map(|object| object.orders.clone())
            .unwrap_or_default(),
        goals: previous
            .map(|object| object.goals.clone())
            .unwrap_or_default(),
    };
    let effect_end = effect_end(state, seen, now);
    let if_version = match seen.value {
        Some(_) => seen.version,
        None => ObjectVersion::default(),
    };
    let write = PendingWrite {
        object: object.clone(),
        if_version,
        sent_at: now,
        answer_lost: false,
    };
    state.phase = LeasePhase::Acquiring(PlanLease::acquire(write, effect_end));
    PlanEffect::Store {
        data_centre: state.data_centre.clone(),
        object: Box::new(object),
        if_version,
    }
}

/// Returns the time after which no order of earlier holders can take effect.
fn effect_end(state: &PlanState, seen: &SeenObject, now: LocalTime) -> LocalTime {
    if state.settings.mutated(PlanMutation::NoWaitOnTakeover) {
        return now;
    }
    if seen.value.is_none() && !has_no_prior_orders(state) {
        let span = state.settings.lease + state.settings.arrival_margin;
        return seen.first_seen + state.settings.lengthened(span);
    }
    seen.effect_end(&state.settings)
}

fn hold(state: &mut PlanState, now: LocalTime, effects: &mut Vec<PlanEffect>) {
    if let LeasePhase::Waiting(lease) = &state.phase
        && now > lease.state.effect_end
    {
        let lease = lease.clone();
        state.phase = LeasePhase::Holding(lease.into_holding(&state.settings));
    }
    if state.settings.mutated(PlanMutation::ReleaseWithoutBarrier) {
        for entry in state.endpoints.values_mut() {
            entry.ledger.forget_expired(now);
        }
    }
    state.endpoints.retain(|_, entry| {
        let is_gone = entry.spec.is_none();
        if is_gone {
            entry.ledger.forget_expired(now);
        }
        !is_gone || !entry.ledger.is_empty()
    });
    writing::send_barriers(state, now, effects);
    draining::finish(state, now);
    if now >= state.next_plan_at && !state.releasing {
        state.next_plan_at = now + state.settings.plan_interval;
        planning::plan_moves(state, now);
    }
    writing::write_if_due(state, now, effects);
}

/// Reads the object again after a lost reply to a write.
fn read_again(state: &mut PlanState, now: LocalTime, effects: &mut Vec<PlanEffect>) {
    let write = match &state.phase {
        LeasePhase::Acquiring(lease) => Some(&lease.state.write),
        phase => phase.term().and_then(|term| term.write.as_ref()),
    };
    let is_lost = write.is_some_and(|write| write.answer_lost);
    if is_lost && now >= state.next_read_at {
        state.next_read_at = now + state.settings.write_interval;
        effects.push(platform_reply::read_effect(state));
    }
}
