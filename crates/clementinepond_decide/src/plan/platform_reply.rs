//! Handling of the platform's replies to reads and writes of the plan object.

use super::lease::{Acquiring, LeasePhase, PendingWrite, PlanLease};
use super::{
    EndpointEntry, OrderIntent, OrderNumber, PlanEffect, PlanMutation, PlanObject, PlanState,
    PossibleOrder, WriteId, writing,
};
use crate::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::{LocalTime, ObjectVersion};

/// Handles the reply to a read.
pub(super) fn read_replied(
    state: &mut PlanState,
    reply: ReadReply<PlanObject>,
    now: LocalTime,
) -> Vec<PlanEffect> {
    let (version, value) = match reply {
        ReadReply::Found(found) => (found.version, Some(found.value)),
        ReadReply::Missing => (ObjectVersion::default(), None),
        ReadReply::Unavailable => return Vec::new(),
    };
    observe(state, version, value, now)
}

/// Handles the reply to a conditional update.
pub(super) fn store_replied(
    state: &mut PlanState,
    write: WriteId,
    reply: StoreReply<PlanObject>,
    now: LocalTime,
) -> Vec<PlanEffect> {
    match reply {
        StoreReply::Stored { version } => {
            if pending_id(&state.phase) == Some(write) {
                return complete_write(state, version, now);
            }
            Vec::new()
        }
        StoreReply::Conflict(found) => {
            let (version, value) = into_parts(found);
            observe(state, version, value, now)
        }
        StoreReply::Unknown => {
            if pending_id(&state.phase) == Some(write)
                && let Some(pending) = pending_mut(&mut state.phase)
            {
                pending.answer_lost = true;
                return vec![read_effect(state)];
            }
            Vec::new()
        }
    }
}

fn into_parts(found: Option<VersionedObject<PlanObject>>) -> (ObjectVersion, Option<PlanObject>) {
    match found {
        Some(found) => (found.version, Some(found.value)),
        None => (ObjectVersion::default(), None),
    }
}

/// Returns the effect that reads the plan object.
pub(super) fn read_effect(state: &PlanState) -> PlanEffect {
    PlanEffect::Read {
        data_centre: state.data_centre.clone(),
    }
}

fn pending_id(phase: &LeasePhase) -> Option<WriteId> {
    let write = match phase {
        LeasePhase::Acquiring(lease) => Some(&lease.state.write),
        _ => phase.term().and_then(|term| term.write.as_ref()),
    };
    write.map(|write| write.object.write_id())
}

const fn pending_mut(phase: &mut LeasePhase) -> Option<&mut PendingWrite> {
    match phase {
        LeasePhase::Acquiring(lease) => Some(&mut lease.state.write),
        LeasePhase::Waiting(lease) => lease.state.term.write.as_mut(),
        LeasePhase::Holding(lease) => lease.state.term.write.as_mut(),
        LeasePhase::Follower(_) => None,
    }
}

/// Handles a version of the object, from a read, a watch or a conflict.
fn observe(
    state: &mut PlanState,
    version: ObjectVersion,
    value: Option<PlanObject>,
    now: LocalTime,
) -> Vec<PlanEffect> {
    if let LeasePhase::Follower(lease) = &mut state.phase {
        lease.record(version, value, now);
        return Vec::new();
    }
    if let LeasePhase::Acquiring(lease) = &state.phase {
        let acquiring = lease.state.clone();
        return observe_acquiring(state, &acquiring, version, value, now);
    }
    observe_held(state, version, value, now)
}

fn observe_acquiring(
    state: &mut PlanState,
    acquiring: &Acquiring,
    version: ObjectVersion,
    value: Option<PlanObject>,
    now: LocalTime,
) -> Vec<PlanEffect> {
    let write = &acquiring.write;
    let is_own = value
        .as_ref()
        .is_some_and(|object| object.is_from(&state.vm, write.object.nonce));
    if is_own {
        return complete_write(state, version, now);
    }
    if version > write.if_version || (value.is_none() && write.if_version.get() > 0) {
        step_down(state, version, value, now);
        return Vec::new();
    }
    if write.answer_lost && version == write.if_version {
        // The same write is sent again: whichever of the two is stored, the lease
        // counts from the first send.
        return resend(state);
    }
    Vec::new()
}

fn observe_held(
    state: &mut PlanState,
    version: ObjectVersion,
    value: Option<PlanObject>,
    now: LocalTime,
) -> Vec<PlanEffect> {
    let Some(term) = state.phase.term_mut() else {
        return Vec::new();
    };
    if version <= term.version && value.is_some() {
        let is_not_stored = version == term.version;
        let is_lost = term.write.as_ref().is_some_and(|write| write.answer_lost);
        if is_not_stored && is_lost {
            // The write may still be stored; the next one has a number of its own.
            term.abandon_write();
        }
        return Vec::new();
    }
    let own = value
        .as_ref()
        .filter(|object| object.is_from(&state.vm, term.nonce))
        .map(|object| object.renewals);
    let Some(renewals) = own else {
        step_down(state, version, value, now);
        return Vec::new();
    };
    let expected = term.write.as_ref().map(|write| write.object.renewals);
    if expected == Some(renewals) {
        return complete_write(state, version, now);
    }
    // An earlier write of this term was stored late; the next one builds on its
    // version.
    term.version = version;
    term.abandon_write();
    Vec::new()
}

fn resend(state: &mut PlanState) -> Vec<PlanEffect> {
    let Some(write) = pending_mut(&mut state.phase) else {
        return Vec::new();
    };
    write.answer_lost = false;
    let effect = PlanEffect::Store {
        data_centre: state.data_centre.clone(),
        object: Box::new(write.object.clone()),
        if_version: write.if_version,
    };
    vec![effect]
}

/// Handles the pending write, now known to be stored: starts the term, extends the
/// lease or ends a released one.
fn complete_write(
    state: &mut PlanState,
    version: ObjectVersion,
    now: LocalTime,
) -> Vec<PlanEffect> {
    if let LeasePhase::Acquiring(lease) = &state.phase {
        let lease = lease.clone();
        acquire(state, lease, version, now);
        return Vec::new();
    }
    let from_reply = state.settings.mutated(PlanMutation::LeaseFromReply);
    let settings = state.settings.clone();
    let Some(term) = state.phase.term_mut() else {
        return Vec::new();
    };
    let Some(write) = term.write.take() else {
        return Vec::new();
    };
    term.version = version;
    let counted_from = if from_reply { now } else { write.sent_at };
    term.deadline = counted_from + settings.shortened(write.object.lease);
    if write.object.holder.is_none() {
        step_down(state, version, Some(write.object), now);
        return Vec::new();
    }
    writing::issue_written(state, &write.object.orders, now)
}

/// Starts a term: the state of every endpoint must be confirmed again.
fn acquire(
    state: &mut PlanState,
    lease: PlanLease<Acquiring>,
    version: ObjectVersion,
    now: LocalTime,
) {
    let settings = &state.settings;
    let from_reply = settings.mutated(PlanMutation::LeaseFromReply);
    let counted_from = if from_reply {
        now
    } else {
        lease.state.write.sent_at
    };
    let effect_end = lease.state.effect_end;
    state.next_number = OrderNumber::first_of(lease.state.write.object.fencing);
    let inherited = lease.state.write.object.orders.clone();
    state.phase = LeasePhase::Waiting(lease.acquired(version, settings, counted_from));
    let skips_barrier = settings.mutated(PlanMutation::NoBarrierOnTakeover);
    for entry in state.endpoints.values_mut() {
        entry.reset();
        entry.confirmed = skips_barrier;
    }
    if !state.settings.mutated(PlanMutation::ForgetInheritedOrders) {
        for intent in inherited {
            inherit(state, intent, effect_end);
        }
    }
    state.staged.clear();
    state.next_plan_at = now;
    // The previous holder may have used up the weight store's share.
    state.next_load_at = now + writing::load_interval(state);
}

/// Reserves memory for an order that an earlier holder may have sent.
fn inherit(state: &mut PlanState, intent: OrderIntent, effect_end: LocalTime) {
    let entry = state
        .endpoints
        .entry(intent.endpoint)
        .or_insert_with(EndpointEntry::unlisted);
    entry.last_number = entry.last_number.max(intent.number);
    entry.ledger.reserve(
        intent.number,
        PossibleOrder {
            action: intent.action,
            reason: intent.reason,
            window_end: effect_end,
            barrier: None,
        },
    );
}

/// Becomes a follower; staged orders are dropped.
pub(super) fn step_down(
    state: &mut PlanState,
    version: ObjectVersion,
    value: Option<PlanObject>,
    now: LocalTime,
) {
    let mut lease = PlanLease::watch(None);
    lease.record(version, value, now);
    state.phase = LeasePhase::Follower(lease);
    clear_term(state);
}

/// Clears the state that only the lease holder may act on.
pub(super) fn clear_term(state: &mut PlanState) {
    state.staged.clear();
    state.goals.clear();
    state.unplaced.clear();
    for entry in state.endpoints.values_mut() {
        entry.reset();
    }
}
