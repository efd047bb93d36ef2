//! Relay duty: the calls to the platform that one VM makes for all.

use super::exchange::relay_candidates;
use super::state::WatchStage;
use super::store::adopt_table;
use super::{ListedVm, RosterEffect, RosterState, RosterTable, VmPresence, WatchAnswer};
use clementinepond_types::{LocalTime, TimeSpan, VmId};
use std::collections::BTreeSet;

/// Time after which a watch without answer counts as lost.
const WATCH_LIMIT: TimeSpan = TimeSpan::from_secs(90);

/// Decides on relay duty and starts the calls that it brings.
pub(super) fn drive_duty(state: &mut RosterState, now: LocalTime, effects: &mut Vec<RosterEffect>) {
    let active = has_duty(state, now);
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

/// Returns whether this VM is the best candidate that reaches the platform.
fn has_duty(state: &RosterState, now: LocalTime) -> bool {
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
        .all(|vm| !is_working(state, vm, now))
}

fn is_working(state: &RosterState, vm: &VmId, now: LocalTime) -> bool {
    let settings = &state.settings;
    let has_platform = state
        .sightings
        .get(vm)
        .is_some_and(|&at| now.since(at) <= settings.relay_takeover);
    has_platform && state.heard.is_fresh(vm, settings.relay_silence, now)
}

fn watch_tables(state: &mut RosterState, now: LocalTime, effects: &mut Vec<RosterEffect>) {
    let (WatchStage::Idle { retry: due } | WatchStage::Waiting { lapse: due }) = state.watch;
    if now < due {
        return;
    }
    state.watch = WatchStage::Waiting {
        lapse: now + WATCH_LIMIT,
    };
    effects.push(if state.watch_too_old {
        RosterEffect::ListTables
    } else {
        RosterEffect::WatchTables {
            from: state.watch_from,
        }
    });
}

/// Takes in the answer to a watch or list of all tables.
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
            note_sighting(state, now);
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

/// Takes in the platform's list.
pub(super) fn vms_listed(state: &mut RosterState, list: Option<Vec<ListedVm>>, now: LocalTime) {
    let Some(list) = list else {
        return;
    };
    note_sighting(state, now);
    state.listed = Some(now);
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

fn note_sighting(state: &mut RosterState, now: LocalTime) {
    if state.own_entry().is_some() {
        state.sightings.insert(state.own.vm.clone(), now);
    }
}
