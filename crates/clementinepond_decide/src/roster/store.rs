//! Reads and conditional updates of the own table.
//!
//! An update without answer is followed by a read. Until a version larger than
//! the one that the update was conditional on is known, the update may still
//! take effect: parts that it releases stay unused, parts that it gains are not
//! used yet.

use super::exchange::RELAY_KEY;
use super::plan::plan_table;
use super::rendezvous::ranked_members;
use super::state::PartRelease;
use super::{MembershipStage, RosterEffect, RosterMutation, RosterState, RosterTable, UpdateNonce};
use crate::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::{LocalTime, ObjectVersion};

/// Call to the platform about the own table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum TableCall {
    /// No call is in progress.
    Idle {
        /// Earliest time of the next call.
        retry: LocalTime,
    },
    /// An update or a read had no answer; the table must be read.
    Unknown {
        /// Earliest time of the read.
        retry: LocalTime,
    },
    /// A read is in progress.
    Reading {
        /// Time after which it counts as lost.
        until: LocalTime,
    },
    /// An update is in progress.
    Storing(Box<PendingUpdate>),
}

/// Update that waits for its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PendingUpdate {
    /// Version that the update is conditional on.
    base: ObjectVersion,
    table: RosterTable,
    sent: LocalTime,
    until: LocalTime,
}

/// Starts the next call when one is needed.
pub(super) fn drive_table(
    state: &mut RosterState,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    expire_call(state, now);
    match state.table_call {
        TableCall::Idle { retry } if now >= retry => {
            if wants_read(state, now) {
                start_read(state, now, effects);
            } else {
                start_update(state, now, effects);
            }
        }
        TableCall::Unknown { retry } if now >= retry => start_read(state, now, effects),
        _ => {}
    }
}

fn expire_call(state: &mut RosterState, now: LocalTime) {
    match &state.table_call {
        TableCall::Reading { until } if now >= *until => {
            state.table_call = TableCall::Unknown { retry: now };
        }
        TableCall::Storing(sent) if now >= sent.until => {
            let base = sent.base;
            record_unknown_update(state, base, now);
        }
        _ => {}
    }
}

/// Returns whether the table must be read: it is unknown, not known to be missing, and
/// the seeds, if any, had one heartbeat period to send it.
fn wants_read(state: &RosterState, now: LocalTime) -> bool {
    let peers_had_time = state.settings.seeds.is_empty()
        || now.since(state.started) >= state.settings.heartbeat_period;
    state.own_table().is_none() && !state.table_missing && peers_had_time
}

fn start_read(state: &mut RosterState, now: LocalTime, effects: &mut Vec<RosterEffect>) {
    state.table_call = TableCall::Reading {
        until: now + state.settings.answer_limit,
    };
    effects.push(RosterEffect::ReadTable {
        data_centre: state.own.data_centre.clone(),
    });
}

fn start_update(state: &mut RosterState, now: LocalTime, effects: &mut Vec<RosterEffect>) {
    let Some(table) = plan_table(state, now) else {
        return;
    };
    let base = if state.table_missing {
        ObjectVersion::default()
    } else {
        state.own_version()
    };
    if let Some(release) = &mut state.release {
        release.written_on = Some(base);
    }
    let until = now + state.settings.answer_limit;
    effects.push(RosterEffect::StoreTable {
        if_version: base,
        table: table.clone(),
        deadline: until,
    });
    state.table_call = TableCall::Storing(Box::new(PendingUpdate {
        base,
        table,
        sent: now,
        until,
    }));
}

/// Applies the answer to a read.
pub(super) fn table_read(
    state: &mut RosterState,
    reply: ReadReply<RosterTable>,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    let retry = match reply {
        ReadReply::Found(object) => {
            state.table_missing = false;
            adopt_table(state, object, now, effects);
            now
        }
        ReadReply::Missing => {
            state.table_missing = true;
            now
        }
        ReadReply::Unavailable => now + state.settings.retry_period,
    };
    if let TableCall::Reading { .. } = state.table_call {
        state.table_call = TableCall::Idle { retry };
    }
}

/// Applies the answer to an update.
pub(super) fn table_stored(
    state: &mut RosterState,
    nonce: UpdateNonce,
    reply: StoreReply<RosterTable>,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    let sent = match &state.table_call {
        TableCall::Storing(sent) if sent.table.nonce == nonce => Some(sent.as_ref().clone()),
        _ => None,
    };
    match (reply, sent) {
        (StoreReply::Stored { version }, Some(sent)) => {
            state.table_missing = false;
            state.table_call = TableCall::Idle { retry: now };
            let object = VersionedObject {
                version,
                value: sent.table,
            };
            adopt_table(state, object, now, effects);
            state.record_written(sent.sent);
        }
        (StoreReply::Conflict(object), sent) => {
            if sent.is_some() {
                state.table_call = TableCall::Idle { retry: now };
            }
            handle_conflict(state, object, now, effects);
        }
        (StoreReply::Unknown, Some(sent)) => {
            if state.mutated(RosterMutation::UseOnUnknown) {
                let object = VersionedObject {
                    version: sent.base.next(),
                    value: sent.table,
                };
                adopt_table(state, object, now, effects);
            }
            record_unknown_update(state, sent.base, now);
        }
        (StoreReply::Stored { .. } | StoreReply::Unknown, None) => {}
    }
}

fn handle_conflict(
    state: &mut RosterState,
    object: Option<VersionedObject<RosterTable>>,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    let Some(object) = object else {
        state.table_missing = true;
        return;
    };
    state.table_missing = false;
    adopt_table(state, object, now, effects);
}

fn record_unknown_update(state: &mut RosterState, base: ObjectVersion, now: LocalTime) {
    state.table_call = TableCall::Unknown { retry: now };
    let resumes = state.mutated(RosterMutation::ResumeOnUnknown);
    if resumes
        && state
            .release
            .is_some_and(|release| release.written_on == Some(base))
    {
        state.release = None;
    }
}

/// Replaces a known table by a newer one; an older one is ignored.
pub(super) fn adopt_table(
    state: &mut RosterState,
    object: VersionedObject<RosterTable>,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    let data_centre = object.value.data_centre.clone();
    let known = state.rosters.get(&data_centre);
    let is_older = known.is_some_and(|known| known.version >= object.version);
    if is_older && !state.mutated(RosterMutation::AcceptOlder) {
        return;
    }
    learn_addresses(known.map(|known| &known.value), &object.value, effects);
    let is_own = data_centre == state.own.data_centre;
    if is_own {
        record_activity(state, &object.value, now);
        finish_release(state, object.version);
    }
    state.rosters.insert(data_centre, object);
    if is_own {
        state.complying.clear();
        order_members(state);
        update_stage(state, now, effects);
        prune(state, now);
    }
}

/// Ranks the members as relays and for probes.
fn order_members(state: &mut RosterState) {
    let own = &state.own;
    let Some(object) = state.rosters.get(&own.data_centre) else {
        return;
    };
    let relays = ranked_members(&object.value, RELAY_KEY);
    state.relay_order = relays.into_iter().cloned().collect();
    let probes = ranked_members(&object.value, own.vm.as_str());
    let others = probes.into_iter().filter(|vm| **vm != own.vm);
    state.probe_order = others.cloned().collect();
}

fn learn_addresses(
    known: Option<&RosterTable>,
    table: &RosterTable,
    effects: &mut Vec<RosterEffect>,
) {
    for (vm, member) in &table.members {
        let before = known.and_then(|known| known.members.get(vm));
        if before.is_none_or(|before| before.address != member.address) {
            effects.push(RosterEffect::LearnAddress {
                vm: vm.clone(),
                address: member.address.clone(),
            });
        }
    }
}

/// Records the members with a new entry, and the writer of the update, as seen now.
fn record_activity(state: &mut RosterState, table: &RosterTable, now: LocalTime) {
    let known = state
        .rosters
        .get(&table.data_centre)
        .map(|object| &object.value);
    let fresh: Vec<_> = table
        .members
        .iter()
        .filter(|(vm, member)| {
            known.is_none_or(|known| known.entry(vm, member.incarnation).is_none())
        })
        .map(|(vm, _)| vm.clone())
        .collect();
    for vm in &fresh {
        state.last_seen.record(vm, now);
    }
    state.last_seen.record(&table.holder, now);
}

/// Ends a release when a table newer than the base of its latest update is known, which
/// shows whether the update took effect.
fn finish_release(state: &mut RosterState, version: ObjectVersion) {
    let is_decided = |release: &PartRelease| release.written_on.is_some_and(|base| version > base);
    if state.release.as_ref().is_some_and(is_decided) {
        state.release = None;
    }
}

fn update_stage(state: &mut RosterState, now: LocalTime, effects: &mut Vec<RosterEffect>) {
    let is_listed = state.own_entry().is_some();
    match state.stage {
        MembershipStage::Joining if is_listed => {
            state.stage = MembershipStage::Member;
            state.platform_contact = Some(now);
            state.suspended = None;
        }
        MembershipStage::Member if !is_listed => {
            state.stage = MembershipStage::Joining;
            state.joining_since = now;
            state.suspended = None;
            state.release = None;
        }
        MembershipStage::Releasing if !is_listed => {
            state.stage = MembershipStage::Released;
            effects.push(RosterEffect::Released);
        }
        _ => {}
    }
}

fn prune(state: &mut RosterState, now: LocalTime) {
    let Some(object) = state.rosters.get(&state.own.data_centre) else {
        return;
    };
    let table = &object.value;
    state.last_seen.prune(table, state.settings.suspicion, now);
    state
        .contacts
        .retain(|vm, _| table.members.contains_key(vm));
    state.absent.retain(|vm, _| table.members.contains_key(vm));
    state
        .relay_contacts
        .retain(|vm, _| table.members.contains_key(vm));
    state
        .joiners
        .retain(|vm, (request, _)| table.entry(vm, request.incarnation).is_none());
}
