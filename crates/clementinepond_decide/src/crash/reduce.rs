//! Reducer of the crash guard.

use super::effect::{CrashEffect, CrashRefusal};
use super::event::CrashEvent;
use super::guard;
use super::message::CrashMessage;
use super::permit;
use super::state::CrashState;
use super::verdict_store;
use clementinepond_types::{DataCentreId, Epoch, LocalTime, TimeSpan, VmId};
use std::collections::VecDeque;

/// Time between two sweeps, which remove expired entries, confirm overdue losses and renew
/// permits.
const SWEEP_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Applies one event to the state and returns the effects to carry out.
pub fn reduce(state: &mut CrashState, event: CrashEvent, now: LocalTime) -> Vec<CrashEffect> {
    let mut queue: VecDeque<CrashEffect> = apply(state, event, now).into();
    let mut effects = Vec::new();
    while let Some(effect) = queue.pop_front() {
        match effect {
            // Messages of this VM to itself, as requester and arbiter, bypass the network.
            CrashEffect::Send { to, message } if to == state.vm => {
                queue.extend(received(state, to, message, now));
            }
            other => effects.push(other),
        }
    }
    effects.extend(guard::announce(state, now));
    effects
}

fn apply(state: &mut CrashState, event: CrashEvent, now: LocalTime) -> Vec<CrashEffect> {
    match event {
        CrashEvent::RunRequested {
            ticket,
            fingerprint,
            candidates,
            deadline,
        } => permit::request_run(state, ticket, fingerprint, candidates, deadline, now),
        CrashEvent::Dispatched {
            ticket,
            fingerprint,
            endpoint,
            incarnation,
        } => permit::dispatched(state, ticket, fingerprint, endpoint, incarnation, now),
        CrashEvent::Completed { ticket } => guard::completed(state, ticket, now),
        CrashEvent::Stopped { ticket } => permit::end_run(state, ticket),
        CrashEvent::StreamBroken { ticket } => guard::stream_broken(state, ticket, now),
        CrashEvent::EndpointReported {
            endpoint,
            incarnation,
            requested_at,
        } => guard::endpoint_reported(state, &endpoint, incarnation, requested_at, now),
        CrashEvent::EndpointUnreachable { endpoint } => {
            guard::endpoint_unreachable(state, &endpoint, now)
        }
        CrashEvent::Received { from, message } => received(state, from, message, now),
        CrashEvent::RosterChanged {
            data_centre,
            epoch,
            members,
        } => roster_changed(state, data_centre, epoch, members, now),
        CrashEvent::StoreReplied { reply } => verdict_store::store_replied(state, reply, now),
        CrashEvent::ReadReplied { reply } => verdict_store::read_replied(state, reply, now),
        CrashEvent::Release { fingerprint } => guard::release(state, fingerprint, now),
        CrashEvent::Tick => tick(state, now),
    }
}

fn received(
    state: &mut CrashState,
    from: VmId,
    message: CrashMessage,
    now: LocalTime,
) -> Vec<CrashEffect> {
    match message {
        CrashMessage::Announce {
            losses,
            suspects,
            verdicts,
            occupied,
        } => {
            if let Some(endpoints) = occupied {
                let until = now + state.settings.permit_limit;
                state.occupied.insert(from, (endpoints, until));
            }
            guard::merge_announcement(state, losses, suspects, verdicts, now)
        }
        CrashMessage::RequestPermit {
            ticket,
            fingerprint,
            candidates,
            suspects,
            losses,
            time_left,
        } => {
            let mut effects = guard::merge_announcement(state, losses, suspects, Vec::new(), now);
            effects.extend(permit::permit_requested(
                state,
                from,
                ticket,
                fingerprint,
                candidates,
                time_left,
                now,
            ));
            effects
        }
        CrashMessage::Permit { ticket, reply } => {
            permit::permit_replied(state, from, ticket, reply, now)
        }
        CrashMessage::Running {
            ticket,
            fingerprint,
            endpoint,
        } => permit::running(state, from, ticket, fingerprint, endpoint, now),
        CrashMessage::RunEnded {
            ticket,
            suspects,
            losses,
        } => {
            // The losses of this run are merged before its permit is removed, so that
            // they count when the next run of the same request is decided.
            let mut effects = guard::merge_announcement(state, losses, suspects, Vec::new(), now);
            effects.extend(permit::run_ended(state, from, ticket, now));
            effects
        }
    }
}

fn roster_changed(
    state: &mut CrashState,
    data_centre: DataCentreId,
    epoch: Epoch,
    members: Vec<VmId>,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let known = state.rosters.get(&data_centre);
    if known.is_some_and(|(known, _)| *known >= epoch) {
        return Vec::new();
    }
    let former = state.arbiter();
    let removed: Vec<VmId> = known.map_or_else(Vec::new, |(_, known)| {
        let removed = known.iter().filter(|vm| !members.contains(vm));
        removed.cloned().collect()
    });
    state.rosters.insert(data_centre, (epoch, members));
    for vm in &removed {
        state.permits.remove_vm(vm);
    }
    let arbiter = state.arbiter();
    if arbiter == former {
        return Vec::new();
    }
    if arbiter == state.vm {
        // No permits are granted until other VMs had time to report the runs that the
        // former arbiter permitted.
        state.arbiter_ready_at = now + state.settings.arbiter_wait;
    }
    permit::report_runs(state)
}

fn tick(state: &mut CrashState, now: LocalTime) -> Vec<CrashEffect> {
    let mut effects = permit::tick(state, now);
    if now >= state.next_sweep {
        state.next_sweep = now + SWEEP_INTERVAL;
        effects.extend(guard::sweep(state, now));
    }
    effects.extend(verdict_store::tick(state, now));
    effects
}

/// Returns the effect that refuses a run of a blocked request.
pub(super) fn poison_refusal(
    ticket: super::identity::CrashTicket,
    retry_after: TimeSpan,
) -> CrashEffect {
    CrashEffect::Refused {
        ticket,
        retry_after,
        reason: CrashRefusal::Poison,
    }
}
