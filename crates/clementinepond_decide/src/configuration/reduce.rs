//! Reducer of the configuration part: applies an event to the state and returns
//! effects.

use super::content::{answer_request, compare_versions, offer, update_received};
use super::watch::{content_read, content_watched, drive_calls, record_watched};
use super::{
    ConfigurationEffect, ConfigurationEvent, ConfigurationMessage, ConfigurationState, withdrawal,
};
use clementinepond_types::{LocalTime, ObjectVersion, TimeSpan, VmId};

/// Smallest extension of the key acceptance that is announced; limits the number of
/// `AcceptKeys` effects.
const MIN_KEY_ACCEPTANCE_EXTENSION: TimeSpan = TimeSpan::from_secs(1);

/// Applies one event and returns the effects that the I/O layer must execute.
pub fn reduce(
    state: &mut ConfigurationState,
    event: ConfigurationEvent,
    now: LocalTime,
) -> Vec<ConfigurationEffect> {
    let mut effects = Vec::new();
    apply(state, event, now, &mut effects);
    offer(state, now, &mut effects);
    withdrawal::answer_operators(state, now, &mut effects);
    announce(state, now, &mut effects);
    effects
}

fn apply(
    state: &mut ConfigurationState,
    event: ConfigurationEvent,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    match event {
        ConfigurationEvent::Tick => {
            drive_calls(state, now, effects);
            withdrawal::drive_record(state, now, effects);
        }
        ConfigurationEvent::Received { from, message } => {
            state.record_contact(now);
            received(state, from, message, effects);
        }
        ConfigurationEvent::PeerDigest { from, digest } => {
            state.record_contact(now);
            compare_versions(state, &from, &digest, now, effects);
            withdrawal::compare(state, &from, &digest, now, effects);
        }
        ConfigurationEvent::MembersChanged { local, remote } => {
            state.local = local;
            state.remote = remote;
        }
        ConfigurationEvent::RelayChanged { active } => state.relay = active,
        ConfigurationEvent::ContentRead(reply) => content_read(state, reply, now, effects),
        ConfigurationEvent::ContentWatched(answer) => content_watched(state, answer, now, effects),
        ConfigurationEvent::RecordWatched(answer) => record_watched(state, answer, now, effects),
        ConfigurationEvent::RecordRead(reply) => {
            withdrawal::record_read(state, reply, now, effects);
        }
        ConfigurationEvent::RecordStored(reply) => {
            withdrawal::record_stored(state, reply, now, effects);
        }
        ConfigurationEvent::Applied { version } => applied(state, version, effects),
        ConfigurationEvent::Refused { version } => state.refused = state.refused.max(Some(version)),
        ConfigurationEvent::KeysChecked {
            version,
            checked,
            present,
        } => withdrawal::keys_checked(state, version, &checked, &present),
        ConfigurationEvent::WithdrawalRequested { request, keys } => {
            withdrawal::requested(state, request, keys, now, effects);
        }
    }
}

fn received(
    state: &mut ConfigurationState,
    from: VmId,
    message: ConfigurationMessage,
    effects: &mut Vec<ConfigurationEffect>,
) {
    match message {
        ConfigurationMessage::Update {
            version,
            update,
            subtree,
        } => update_received(state, &from, version, &update, &subtree, effects),
        ConfigurationMessage::Request { have } => answer_request(state, from, have, effects),
        ConfigurationMessage::Withdrawals { entries, subtree } => {
            withdrawal::received(state, from, &entries, &subtree, effects);
        }
        ConfigurationMessage::WithdrawalsAcknowledged { entries } => {
            withdrawal::copy_acknowledged(state, &from, &entries);
        }
        ConfigurationMessage::WithdrawalsRequest { groups } => {
            withdrawal::answer_request(state, from, &groups, effects);
        }
    }
}

fn applied(
    state: &mut ConfigurationState,
    version: ObjectVersion,
    effects: &mut Vec<ConfigurationEffect>,
) {
    state.in_force = state.in_force.max(Some(version));
    withdrawal::check_keys(state, effects);
}

/// Announces the digest when it changed, and the key acceptance when it is extended.
fn announce(
    state: &mut ConfigurationState,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let digest = state.digest(now);
    if state.announced.as_ref() != Some(&digest) {
        state.announced = Some(digest.clone());
        effects.push(ConfigurationEffect::DigestChanged(digest));
    }
    let until = state.keys_until();
    let is_extended = state.accepted_until.is_none_or(|accepted| {
        accepted + MIN_KEY_ACCEPTANCE_EXTENSION <= until && accepted != until
    });
    if is_extended {
        state.accepted_until = Some(until);
        effects.push(ConfigurationEffect::AcceptKeys { deadline: until });
    }
}
