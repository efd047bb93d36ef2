//! Relay: the VM that watches the tables and reads the platform's list of VMs on behalf
//! of its data centre.

use super::exchange::relay_candidates;
use super::state::WatchStage;
use super::store::adopt_table;
use super::{ListedVm, RosterEffect, RosterState, RosterTable, VmPresence, WatchAnswer};
use clementinepond_types::{LocalTime, TimeSpan, VmId};
use std::collections::BTreeSet;

/// Time after which an unanswered watch counts as lost.
const WATCH_TIMEOUT: TimeSpan = TimeSpan::from_secs(90);

/// Decides whether this VM is a relay and, if so, starts the calls that are
/// due.
pub(super) fn drive_relay(
    state: &mut RosterState,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    let active = should_relay(state, now);
    if active != state.relay {
        state.relay = active;
        state.absent.clear();
        state.leaving.clear();
        state.next_list = now;
        effects.push(RosterEffect::RelayChanged { active });
    }
    if !active {
        return;
    }
    if now >= state.next_list {
        state.next_list = now + state.settings.list_period;
        effects.push(RosterEffect::ListVms);
    }
    watch_tables(state, now, effects);
}

/// Returns whether this VM is a relay candidate and no better candidate is an active
/// relay. Its own contact with the platform is not considered.
fn should_relay(state: &RosterState, now: LocalTime) -> bool {
    if state.own_entry().is_none() || state.is_leaving() {
        return false;
    }
    let candidates = relay_candidates(state, now);
    let Some(rank) = candidates.iter().position(|vm| *vm == state.own.vm) else {
        return false;
    };
    candidates
        .iter()
        .take(rank)
        .all(|vm| !is_active_relay(state, vm, now))
}

/// Returns whether a member was seen recently and has recent contact with the platform.
fn is_active_relay(state: &RosterState, vm: &VmId, now: LocalTime) -> bool {
    let settings = &state.settings;
    let has_platform = state
        .relay_contacts
        .get(vm)
        .is_some_and(|&at| now.since(at) <= settings.relay_takeover);
    has_platform && state.last_seen.is_fresh(vm, settings.relay_silence, now)
}

fn watch_tables(state: &mut RosterState, now: LocalTime, effects: &mut Vec<RosterEffect>) {
    let (WatchStage::Idle { retry: due } | WatchStage::Waiting { until: due }) = state.watch;
    if now < due {
        return;
    }
    state.watch = WatchStage::Waiting {
        until: now + WATCH_TIMEOUT,
    };
    effects.push(if state.watch_too_old {
        RosterEffect::ListTables
    } else {
        RosterEffect::WatchTables {
            from: state.watch_from,
        }
    });
}

/// Applies the answer to a watch or list of all tables.
pub(super) fn tables_watched(
    state: &mut RosterState,
    answer: WatchAnswer<RosterTable>,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    let retry = match answer {
        WatchAnswer::Changes { version, changes } => {
            state.watch_from = version.max(state.watch_from);
            state.watch_too_old = false;
            record_relay_contact(state, now);
            for change in changes {
                if let Some(object) = change.object {
                    adopt_table(state, object, now, effects);
                } else if *change.name == *state.own.data_centre.as_str() {
                    state.table_missing = true;
                }
            }
            now
        }
        WatchAnswer::TooOld => {
            state.watch_too_old = true;
            now
        }
        WatchAnswer::Unavailable => now + state.settings.retry_period,
    };
    state.watch = WatchStage::Idle { retry };
}

/// Applies the platform's list of VMs.
pub(super) fn vms_listed(state: &mut RosterState, list: Option<Vec<ListedVm>>, now: LocalTime) {
    let Some(list) = list else {
        return;
    };
    record_relay_contact(state, now);
    state.listed_at = Some(now);
    state.leaving = list
        .iter()
        .filter(|line| line.state == VmPresence::Leaving)
        .map(|line| line.vm.clone())
        .collect();
    let listed: BTreeSet<VmId> = list.into_iter().map(|line| line.vm).collect();
    let members: Vec<VmId> = state
        .own_table()
        .map(|object| object.value.members.keys().cloned().collect())
        .unwrap_or_default();
    for vm in members {
        if listed.contains(&vm) {
            state.absent.remove(&vm);
        } else {
            state.absent.entry(vm).or_insert(now);
        }
    }
}

fn record_relay_contact(state: &mut RosterState, now: LocalTime) {
    if state.own_entry().is_some() {
        state.relay_contacts.insert(state.own.vm.clone(), now);
    }
}
