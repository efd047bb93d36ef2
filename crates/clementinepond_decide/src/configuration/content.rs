//! Versions of the configuration: adopting, applying and forwarding them.

use super::state::RequestedVersion;
use super::tree::{branches, rotated};
use super::{
    ConfigurationDigest, ConfigurationEffect, ConfigurationMessage, ConfigurationMutation,
    ConfigurationState, ContentDelta, ContentDigest, ContentUpdate,
};
use crate::port::VersionedObject;
use clementinepond_types::{LocalTime, ObjectVersion, VmId};

/// Adopts a version if it is newer than the newest one; returns whether it was adopted.
pub(super) fn adopt(state: &mut ConfigurationState, object: VersionedObject<Box<str>>) -> bool {
    let is_newer = object.version > state.newest_version();
    if !is_newer && !state.mutated(ConfigurationMutation::AcceptOlder) {
        return false;
    }
    state.newest_digest = Some(ContentDigest::of(&object.value));
    state.confirmed_at = None;
    if let Some(before) = state.newest.replace(object) {
        state.history.push_front(before);
        state.history.truncate(state.settings.history);
    }
    true
}

/// Emits `Apply` for the newest version, once per version. After a start it waits until
/// a read has returned the platform's version or `boot_wait` has passed.
pub(super) fn offer(
    state: &mut ConfigurationState,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let waits = state.booting
        && now < state.boot_until
        && !state.mutated(ConfigurationMutation::ApplyFirstReceived);
    let Some(object) = &state.newest else {
        return;
    };
    if waits || state.offered == Some(object.version) {
        return;
    }
    state.booting = false;
    state.offered = Some(object.version);
    effects.push(ConfigurationEffect::Apply {
        version: object.version,
        text: object.value.clone(),
    });
}

/// Sends the newest version to all members of the data centre through a tree.
pub(super) fn push_to_members(state: &ConfigurationState, effects: &mut Vec<ConfigurationEffect>) {
    let receivers = rotated(&state.local, &state.own_vm, state.newest_version());
    let base = state.history.front().map(|object| object.version);
    if let Some(update) = update_from(state, base) {
        forward(state, state.newest_version(), &update, &receivers, effects);
    }
}

/// Sends an update to receivers through a tree.
fn forward(
    state: &ConfigurationState,
    version: ObjectVersion,
    update: &ContentUpdate,
    receivers: &[VmId],
    effects: &mut Vec<ConfigurationEffect>,
) {
    for branch in branches(receivers, state.settings.fan_out) {
        effects.push(ConfigurationEffect::Send {
            to: branch.to,
            message: ConfigurationMessage::Update {
                version,
                update: update.clone(),
                subtree: branch.subtree,
            },
        });
    }
}

/// Returns the update to the newest version: a difference if the base is in the history,
/// the complete text otherwise.
fn update_from(state: &ConfigurationState, base: Option<ObjectVersion>) -> Option<ContentUpdate> {
    let newest = state.newest.as_ref()?;
    let delta = state
        .history
        .iter()
        .find(|object| Some(object.version) == base)
        .and_then(|object| ContentDelta::between(object.version, &object.value, &newest.value));
    Some(match delta {
        Some(delta) => ContentUpdate::Delta(delta),
        None => ContentUpdate::Whole {
            text: newest.value.clone(),
            digest: state.newest_digest?,
        },
    })
}

/// Forwards an update from a peer unchanged, and adopts it if it is newer.
///
/// Requests the sender's newest version if the text cannot be obtained from the update.
pub(super) fn update_received(
    state: &mut ConfigurationState,
    from: &VmId,
    version: ObjectVersion,
    update: &ContentUpdate,
    subtree: &[VmId],
    effects: &mut Vec<ConfigurationEffect>,
) {
    forward(state, version, update, subtree, effects);
    let is_older = version <= state.newest_version();
    if is_older && !state.mutated(ConfigurationMutation::AcceptOlder) {
        return;
    }
    let Some(text) = text_of(state, update) else {
        effects.push(ConfigurationEffect::Send {
            to: from.clone(),
            message: ConfigurationMessage::Request {
                have: usable_base(state, update),
            },
        });
        return;
    };
    let object = VersionedObject {
        version,
        value: text,
    };
    let is_adopted = adopt(state, object);
    if is_adopted && subtree.is_empty() && state.relay {
        push_to_members(state, effects);
    }
}

/// Returns the own version as the base of a new request, if the update was a difference
/// to another version. Otherwise `None` requests the complete text.
fn usable_base(state: &ConfigurationState, update: &ContentUpdate) -> Option<ObjectVersion> {
    let own = state.newest.as_ref()?.version;
    match update {
        ContentUpdate::Delta(delta) if delta.base != own => Some(own),
        _ => None,
    }
}

/// Returns the text of an update if it matches its digest and its base is the newest
/// version.
fn text_of(state: &ConfigurationState, update: &ContentUpdate) -> Option<Box<str>> {
    match update {
        ContentUpdate::Whole { text, digest } => {
            let is_intact = ContentDigest::of(text) == *digest
                || state.mutated(ConfigurationMutation::SkipDigestCheck);
            is_intact.then(|| text.clone())
        }
        ContentUpdate::Delta(delta) => {
            let newest = state.newest.as_ref()?;
            if newest.version != delta.base {
                return None;
            }
            delta.apply(&newest.value)
        }
    }
}

/// Sends the newest version to a peer that requested it, unless the peer has it.
pub(super) fn answer_request(
    state: &ConfigurationState,
    from: VmId,
    have: Option<ObjectVersion>,
    effects: &mut Vec<ConfigurationEffect>,
) {
    if have == Some(state.newest_version()) {
        return;
    }
    if let Some(update) = update_from(state, have) {
        effects.push(ConfigurationEffect::Send {
            to: from,
            message: ConfigurationMessage::Update {
                version: state.newest_version(),
                update,
                subtree: Vec::new(),
            },
        });
    }
}

/// Requests a peer's version if its digest announces a newer one, and merges the age
/// if the versions are equal.
pub(super) fn compare_versions(
    state: &mut ConfigurationState,
    from: &VmId,
    digest: &ConfigurationDigest,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    if digest.version == state.newest_version() {
        merge_age(state, digest.age_seconds, now);
    }
    let is_requested = state
        .requested
        .is_some_and(|requested| digest.version <= requested.version && now < requested.retry_at);
    let is_behind = digest.version > state.newest_version();
    if !is_behind || is_requested || state.mutated(ConfigurationMutation::SkipRepair) {
        return;
    }
    state.requested = Some(RequestedVersion {
        version: digest.version,
        retry_at: now + state.settings.retry_period,
    });
    effects.push(ConfigurationEffect::Send {
        to: from.clone(),
        message: ConfigurationMessage::Request {
            have: state.newest.as_ref().map(|object| object.version),
        },
    });
}

/// Adopts the time of a peer's confirmation of the newest version if it is later.
fn merge_age(state: &mut ConfigurationState, age: Option<u16>, now: LocalTime) {
    let Some(age) = age else {
        return;
    };
    // The peer rounds down to seconds, so 1 s is added.
    let micros = (u64::from(age) + 1) * 1_000_000;
    let at = LocalTime::from_micros(now.micros().saturating_sub(micros));
    state.confirmed_at = state.confirmed_at.max(Some(at));
}
