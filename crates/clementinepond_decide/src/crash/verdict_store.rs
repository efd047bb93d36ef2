//! Synchronization of the verdicts with their platform object.

use super::effect::CrashEffect;
use super::guard::merge_verdicts;
use super::object::VerdictObject;
use super::settings::CrashSharing;
use super::state::CrashState;
use crate::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::LocalTime;

/// Reads the verdict object at the start and after a write whose outcome is unknown;
/// writes it when the verdicts changed and this VM is the arbiter.
pub(crate) fn tick(state: &mut CrashState, now: LocalTime) -> Vec<CrashEffect> {
    if state.settings.sharing == CrashSharing::Isolated {
        return Vec::new();
    }
    if state.store.in_flight || now < state.store.next_call {
        return Vec::new();
    }
    if !state.store.loaded {
        return start_call(state, CrashEffect::Read, now);
    }
    if !state.store.dirty || state.arbiter() != state.vm {
        return Vec::new();
    }
    state.store.dirty = false;
    let object = VerdictObject::new(state.vm.clone(), state.verdicts.all(now));
    let expected = state.store.version;
    start_call(state, CrashEffect::Store { expected, object }, now)
}

fn start_call(state: &mut CrashState, effect: CrashEffect, now: LocalTime) -> Vec<CrashEffect> {
    state.store.in_flight = true;
    state.store.next_call = now + state.settings.store_gap;
    vec![effect]
}

/// Handles the answer to a write.
pub(crate) fn store_replied(
    state: &mut CrashState,
    reply: StoreReply<VerdictObject>,
    now: LocalTime,
) -> Vec<CrashEffect> {
    state.store.in_flight = false;
    match reply {
        StoreReply::Stored { version } => {
            state.store.version = Some(version);
            Vec::new()
        }
        StoreReply::Conflict(found) => {
            state.store.dirty = true;
            state.store.version = None;
            found.map_or_else(Vec::new, |found| merge_found(state, found, now))
        }
        StoreReply::Unknown => {
            // The object is read again to learn its version. The read may return verdicts
            // that this VM wrote, which merge in any order.
            state.store.dirty = true;
            state.store.loaded = false;
            Vec::new()
        }
    }
}

/// Handles the answer to a read.
pub(crate) fn read_replied(
    state: &mut CrashState,
    reply: ReadReply<VerdictObject>,
    now: LocalTime,
) -> Vec<CrashEffect> {
    state.store.in_flight = false;
    match reply {
        ReadReply::Found(found) => {
            state.store.loaded = true;
            merge_found(state, found, now)
        }
        ReadReply::Missing => {
            state.store.loaded = true;
            state.store.version = None;
            Vec::new()
        }
        ReadReply::Unavailable => Vec::new(),
    }
}

fn merge_found(
    state: &mut CrashState,
    found: VersionedObject<VerdictObject>,
    now: LocalTime,
) -> Vec<CrashEffect> {
    state.store.version = Some(found.version);
    merge_verdicts(state, &found.value.list(), now)
}
