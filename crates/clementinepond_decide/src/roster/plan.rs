//! Plans the next update of the own table.
//!
//! Any member writes its own release. Only a relay adds other VMs, removes those
//! that have stopped and changes the fleet share, so that members do not conflict.
//! Unheld parts are distributed by relays, and by VMs that join, release parts,
//! shut down or restore a missing table.

use super::assign::{assign_unheld, parts_after_release};
use super::share::plan_own_share;
use super::state::PartRelease;
use super::{
    JoinRequest, MembershipStage, RosterMember, RosterMutation, RosterState, RosterTable,
    UpdateNonce,
};
use clementinepond_types::{Epoch, LocalTime, ObjectVersion, PartCount, VmId};
use std::collections::BTreeMap;

/// Returns the next content of the own table, or `None` when no update is
/// needed.
pub(super) fn plan_table(state: &mut RosterState, now: LocalTime) -> Option<RosterTable> {
    let known = state.own_table().map(|object| object.value.clone());
    let mut table = match &known {
        Some(known) => known.clone(),
        None if state.table_missing && !state.is_leaving() => empty_table(state),
        None => return None,
    };
    plan_own(state, &mut table, now);
    if state.relay {
        add_joiners(state, &mut table, now);
        remove_stopped_members(state, &mut table, now);
        plan_own_share(state, &mut table);
    }
    distribute_unheld(state, &mut table, now);
    let is_changed = known.as_ref() != Some(&table);
    let is_restored = state.table_missing && state.own_entry().is_some();
    if !is_changed && !is_restored && !wants_confirmation(state, now) {
        return None;
    }
    table.epoch = table.epoch.next();
    table.holder = state.own.vm.clone();
    table.nonce = state.next_nonce();
    Some(table)
}

fn empty_table(state: &RosterState) -> RosterTable {
    RosterTable {
        data_centre: state.own.data_centre.clone(),
        epoch: Epoch::default(),
        share: PartCount::default(),
        share_version: ObjectVersion::default(),
        share_releasing: false,
        members: BTreeMap::new(),
        holder: state.own.vm.clone(),
        nonce: UpdateNonce::default(),
    }
}

/// Returns whether this member writes the table even if unchanged, to prove contact
/// with the platform.
fn wants_confirmation(state: &RosterState, now: LocalTime) -> bool {
    state.stage == MembershipStage::Member && state.needs_contact(now)
}

fn plan_own(state: &RosterState, table: &mut RosterTable, now: LocalTime) {
    match state.stage {
        MembershipStage::Joining if may_join(state, table, now) => {
            add_member(table, &state.own.vm, &own_request(state, now));
        }
        MembershipStage::Member => release_portion(state, table),
        MembershipStage::Releasing if has_stopped(state, PartCount::default()) => {
            table.members.remove(&state.own.vm);
        }
        _ => {}
    }
}

/// Returns the request of this VM to be added.
pub(super) fn own_request(state: &RosterState, now: LocalTime) -> JoinRequest {
    JoinRequest {
        address: state.own.address.clone(),
        incarnation: state.own.incarnation,
        running: now.since(state.started),
    }
}

/// Returns when this process may be added to the table: at once, or after the rejoin
/// hold-off if the table lists an earlier process of the same VM, whose grants must
/// have expired.
pub(super) fn joinable_at(state: &RosterState, table: &RosterTable) -> LocalTime {
    let is_replacing = table.members.contains_key(&state.own.vm);
    if is_replacing && !state.mutated(RosterMutation::JoinWithoutHoldOff) {
        return state.joining_since + state.settings.rejoin_hold_off();
    }
    state.joining_since
}

fn may_join(state: &RosterState, table: &RosterTable, now: LocalTime) -> bool {
    let joinable = joinable_at(state, table);
    let has_others = table.members.keys().any(|vm| *vm != state.own.vm);
    if has_others {
        now >= joinable + state.settings.join_timeout
    } else {
        now >= joinable
    }
}

fn release_portion(state: &RosterState, table: &mut RosterTable) {
    let Some(release) = state.release else {
        return;
    };
    let is_stopped = has_stopped(state, release.keep);
    if let Some(member) = table.members.get_mut(&state.own.vm)
        && is_stopped
        && member.parts > release.keep
    {
        member.parts = release.keep;
    }
}

/// Returns whether no grant that exceeds these parts is left.
fn has_stopped(state: &RosterState, keep: PartCount) -> bool {
    if state.mutated(RosterMutation::ReleaseBeforeStop) {
        return true;
    }
    let is_announced = state
        .announced
        .as_ref()
        .is_none_or(|announced| announced.parts <= keep);
    is_announced && state.outstanding_parts <= keep
}

fn add_member(table: &mut RosterTable, vm: &VmId, request: &JoinRequest) {
    let parts = table
        .members
        .get(vm)
        .map_or_else(PartCount::default, |member| member.parts);
    let member = RosterMember {
        address: request.address.clone(),
        incarnation: request.incarnation,
        parts,
    };
    table.members.insert(vm.clone(), member);
}

fn add_joiners(state: &RosterState, table: &mut RosterTable, now: LocalTime) {
    for (vm, (request, received)) in &state.joiners {
        let is_recent = now.since(*received) <= state.settings.retry_period;
        if is_recent && may_add(state, table, vm, request) {
            add_member(table, vm, request);
        }
    }
}

/// Returns whether grants of an earlier process of the VM have expired.
///
/// The sender does not wait for this if its own table is too old to list that
/// process.
fn may_add(state: &RosterState, table: &RosterTable, vm: &VmId, request: &JoinRequest) -> bool {
    !table.members.contains_key(vm)
        || request.running >= state.settings.rejoin_hold_off()
        || state.mutated(RosterMutation::JoinWithoutHoldOff)
}

fn remove_stopped_members(state: &RosterState, table: &mut RosterTable, now: LocalTime) {
    let list_limit = state.settings.list_period + state.settings.list_period;
    let is_list_fresh = state
        .listed_at
        .is_some_and(|at| now.since(at) <= list_limit);
    if !is_list_fresh || state.suspended.is_some() {
        return;
    }
    table
        .members
        .retain(|vm, _| *vm == state.own.vm || !is_removable(state, vm, now));
}

/// Returns whether a VM has been missing from the platform's list for
/// `removal_absence` and not seen for `removal_silence`.
fn is_removable(state: &RosterState, vm: &VmId, now: LocalTime) -> bool {
    let Some(&absent) = state.absent.get(vm) else {
        return false;
    };
    if state.mutated(RosterMutation::RemoveWithoutHoldOff) {
        return true;
    }
    let last_seen = state.last_seen.get(vm).unwrap_or(LocalTime::NEVER);
    let is_silent =
        last_seen < LocalTime::NEVER && now >= last_seen + state.settings.removal_silence();
    let is_absent = now >= absent + state.settings.removal_absence();
    is_absent && (is_silent || state.mutated(RosterMutation::RemoveDespiteHeartbeat))
}

/// Distributes unheld parts to this VM, live members and members that requested to join,
/// except those that are leaving.
fn distribute_unheld(state: &RosterState, table: &mut RosterTable, now: LocalTime) {
    let is_writer = state.relay
        || state.is_leaving()
        || state.release.is_some()
        || state.table_missing
        || state.stage == MembershipStage::Joining;
    let is_own_listed = table.entry(&state.own.vm, state.own.incarnation).is_some();
    if !is_writer || (state.stage == MembershipStage::Joining && !is_own_listed) {
        return;
    }
    let mut eligible = state.live_members(now);
    eligible.extend(state.joiners.keys().cloned());
    eligible.retain(|vm| !state.leaving.contains(vm));
    if state.is_leaving() {
        eligible.remove(&state.own.vm);
    } else {
        eligible.insert(state.own.vm.clone());
    }
    if state.is_leaving() && table.members.contains_key(&state.own.vm) {
        return;
    }
    assign_unheld(table, &eligible);
}

/// Starts the release of a portion of this VM's parts when `parts_after_release`
/// requires one; checked once per `balance_period`.
pub(super) fn consider_release(state: &mut RosterState, now: LocalTime) {
    let is_ready = state.stage == MembershipStage::Member
        && state.suspended.is_none()
        && state.release.is_none()
        && now >= state.next_balance;
    if !is_ready {
        return;
    }
    state.next_balance = now + state.settings.balance_period;
    let live = state.live_members(now);
    let keep = state
        .own_table()
        .and_then(|object| parts_after_release(&object.value, &state.own.vm, &live));
    state.release = keep.map(|keep| PartRelease {
        keep,
        written_on: None,
    });
}
