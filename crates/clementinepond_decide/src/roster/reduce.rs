//! Reducer of the roster.

use super::exchange::{drive_round, received};
use super::plan::consider_release;
use super::relay::{drive_relay, tables_watched, vms_listed};
use super::share::{drive_shares, record_compliance, shares_read, shares_stored};
use super::store::{drive_table, table_read, table_stored};
use super::{MembershipStage, RosterEffect, RosterEvent, RosterState, UsableParts};
use clementinepond_types::{Epoch, LocalTime, VmId};
use std::collections::BTreeMap;

/// Handles one event and returns the effects for the I/O layer.
pub fn reduce(state: &mut RosterState, event: RosterEvent, now: LocalTime) -> Vec<RosterEffect> {
    let mut effects = Vec::new();
    let was_suspended = state.suspended.is_some();
    state.record_run(now);
    if state.suspended.is_some() && !was_suspended {
        // Absence from before the suspension must not lead to a removal after it.
        state.absent.clear();
    }
    apply(state, event, now, &mut effects);
    announce_parts(state, &mut effects);
    record_compliance(state);
    effects
}

fn apply(
    state: &mut RosterState,
    event: RosterEvent,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    match event {
        RosterEvent::Tick => tick(state, now, effects),
        RosterEvent::Received { from, message } => received(state, from, message, now, effects),
        RosterEvent::TableRead(reply) => table_read(state, reply, now, effects),
        RosterEvent::TableStored { nonce, reply } => {
            table_stored(state, nonce, reply, now, effects);
        }
        RosterEvent::TablesWatched(answer) => tables_watched(state, answer, now, effects),
        RosterEvent::SharesRead(reply) => shares_read(state, reply, now),
        RosterEvent::SharesStored(reply) => shares_stored(state, reply, now),
        RosterEvent::VmsListed(list) => vms_listed(state, list, now),
        RosterEvent::PartsStopped { change } => parts_stopped(state, change),
        RosterEvent::ShareTarget(target) => state.share_target = Some(target),
        RosterEvent::DigestChanged(digest) => state.digest = Some(digest),
        RosterEvent::ShutdownStarted => start_shutdown(state, effects),
    }
}

fn tick(state: &mut RosterState, now: LocalTime, effects: &mut Vec<RosterEffect>) {
    drive_relay(state, now, effects);
    consider_release(state, now);
    drive_table(state, now, effects);
    drive_shares(state, now, effects);
    if now >= state.next_round {
        drive_round(state, now, effects);
        announce_members(state, now, effects);
    }
}

fn start_shutdown(state: &mut RosterState, effects: &mut Vec<RosterEffect>) {
    match state.stage {
        MembershipStage::Member => state.stage = MembershipStage::Releasing,
        MembershipStage::Joining => {
            state.stage = MembershipStage::Released;
            effects.push(RosterEffect::Released);
        }
        MembershipStage::Releasing | MembershipStage::Released => {}
    }
}

fn parts_stopped(state: &mut RosterState, change: u64) {
    if let Some(announced) = &state.announced
        && announced.change == change
    {
        state.outstanding_parts = announced.parts;
        state.outstanding_share = announced.share;
    }
}

/// Announces the usable parts when parts, share or epoch changed, the deadline moved to an
/// earlier time, or it moved to a later one by at least a heartbeat period.
fn announce_parts(state: &mut RosterState, effects: &mut Vec<RosterEffect>) {
    let parts = state.usable_parts();
    let share = state.usable_share();
    let deadline = state.valid_until();
    let epoch = state
        .own_table()
        .map_or_else(Epoch::default, |object| object.value.epoch);
    let (change, before) = match &state.announced {
        Some(before) => (before.change, Some(before)),
        None => (0, None),
    };
    let is_changed = before.is_none_or(|before| before.parts != parts || before.share != share);
    let is_deadline_or_epoch_changed = before.is_some_and(|before| {
        before.epoch != epoch
            || deadline < before.deadline
            || before.deadline + state.settings.heartbeat_period <= deadline
                && before.deadline != deadline
    });
    if !is_changed && !is_deadline_or_epoch_changed {
        return;
    }
    let usable = UsableParts {
        change: change + u64::from(is_changed),
        epoch,
        parts,
        share,
        deadline,
    };
    state.outstanding_parts = state.outstanding_parts.max(parts);
    state.outstanding_share = state.outstanding_share.max(share);
    state.announced = Some(usable.clone());
    effects.push(RosterEffect::UseParts(usable));
}

/// Announces the members when a table or the set of live members changed.
fn announce_members(state: &mut RosterState, now: LocalTime, effects: &mut Vec<RosterEffect>) {
    let local: Vec<VmId> = state.live_members(now).into_iter().collect();
    let remote: BTreeMap<_, _> = state
        .rosters
        .iter()
        .filter(|(data_centre, _)| **data_centre != state.own.data_centre)
        .map(|(data_centre, object)| {
            let members = object.value.members.keys().cloned().collect();
            (data_centre.clone(), members)
        })
        .collect();
    let members = (local, remote);
    if state.announced_members.as_ref() == Some(&members) {
        return;
    }
    state.announced_members = Some(members.clone());
    let (local, remote) = members;
    effects.push(RosterEffect::MembersChanged { local, remote });
}
