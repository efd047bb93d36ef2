//! Withdrawn keys: receiving, forwarding, recording and removing them.
//!
//! A withdrawn key is removed from the set only when the configuration in force
//! lacks the key and is newer than the record that contains it. Removals are not
//! sent to peers: each VM removes a key by its own configuration. A VM that obtains
//! the set from this one also learns of that configuration from the same digest.

use super::tree::{branches, rotated};
use super::watch::PlatformCall;
use super::{
    ConfigurationDigest, ConfigurationEffect, ConfigurationMessage, ConfigurationMutation,
    ConfigurationState, WithdrawalEntry, WithdrawalRecord, WithdrawnDigest,
};
use crate::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::{KeyDigest, LocalTime, ObjectVersion, VmId};
use std::collections::BTreeSet;

/// Operator's withdrawal that waits for acknowledgements of other VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PendingWithdrawal {
    keys: BTreeSet<KeyDigest>,
    /// VMs that acknowledged all keys of the request.
    copies: BTreeSet<VmId>,
    deadline: LocalTime,
}

/// Processes an operator's withdrawal request: refuses it beyond the limit, or merges
/// the keys and sends them to every VM.
pub(super) fn requested(
    state: &mut ConfigurationState,
    request: u64,
    keys: Vec<KeyDigest>,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let limit = state.settings.withdrawn_limit;
    let added = keys.iter().filter(|key| !state.withdrawn.contains(key));
    if state.withdrawn.len() + added.count() > limit {
        effects.push(ConfigurationEffect::WithdrawalRefused { request, limit });
        return;
    }
    let entries: Vec<_> = keys
        .iter()
        .map(|&key| WithdrawalEntry {
            key,
            recorded: None,
        })
        .collect();
    merge(state, &entries, effects);
    send_to_all(state, &entries, effects);
    let pending = PendingWithdrawal {
        keys: keys.into_iter().collect(),
        copies: BTreeSet::new(),
        deadline: now + state.settings.copy_wait,
    };
    state.pending_withdrawals.insert(request, pending);
}

/// Merges entries into the set of withdrawn keys; returns those that changed it.
fn merge(
    state: &mut ConfigurationState,
    entries: &[WithdrawalEntry],
    effects: &mut Vec<ConfigurationEffect>,
) -> Vec<WithdrawalEntry> {
    let mut changed = Vec::new();
    for &entry in entries {
        let is_new = !state.withdrawn.contains(&entry.key);
        if state.withdrawn.merge(entry) {
            changed.push(entry);
        }
        if is_new {
            effects.push(ConfigurationEffect::KeyWithdrawn { key: entry.key });
        }
    }
    if !changed.is_empty() {
        check_keys(state, effects);
    }
    changed
}

/// Sends entries to every VM: through a tree of the local members, and through one
/// branch per remote data centre.
fn send_to_all(
    state: &ConfigurationState,
    entries: &[WithdrawalEntry],
    effects: &mut Vec<ConfigurationEffect>,
) {
    forward(state, entries, &state.local, effects);
    for members in state.remote.values() {
        let receivers = rotated(members, &state.own_vm, state.newest_version());
        for branch in branches(&receivers, 1) {
            send(branch.to, entries, branch.subtree, effects);
        }
    }
}

/// Sends entries to receivers through a tree.
fn forward(
    state: &ConfigurationState,
    entries: &[WithdrawalEntry],
    receivers: &[VmId],
    effects: &mut Vec<ConfigurationEffect>,
) {
    if state.mutated(ConfigurationMutation::SkipWithdrawalForwarding) {
        return;
    }
    let receivers = rotated(receivers, &state.own_vm, state.newest_version());
    for branch in branches(&receivers, state.settings.fan_out) {
        send(branch.to, entries, branch.subtree, effects);
    }
}

fn send(
    to: VmId,
    entries: &[WithdrawalEntry],
    subtree: Vec<VmId>,
    effects: &mut Vec<ConfigurationEffect>,
) {
    effects.push(ConfigurationEffect::Send {
        to,
        message: ConfigurationMessage::Withdrawals {
            entries: entries.to_vec(),
            subtree,
        },
    });
}

/// Processes withdrawn keys that a peer sent: merges, forwards and acknowledges them.
pub(super) fn received(
    state: &mut ConfigurationState,
    from: VmId,
    entries: &[WithdrawalEntry],
    subtree: &[VmId],
    effects: &mut Vec<ConfigurationEffect>,
) {
    merge(state, entries, effects);
    forward(state, entries, subtree, effects);
    effects.push(ConfigurationEffect::Send {
        to: from,
        message: ConfigurationMessage::WithdrawalsAcknowledged {
            entries: entries.to_vec(),
        },
    });
}

/// Counts the acknowledgement of another VM for each request whose keys it covers.
pub(super) fn copy_acknowledged(
    state: &mut ConfigurationState,
    from: &VmId,
    entries: &[WithdrawalEntry],
) {
    let acknowledged: BTreeSet<KeyDigest> = entries.iter().map(|entry| entry.key).collect();
    for request in state.pending_withdrawals.values_mut() {
        if request.keys.is_subset(&acknowledged) {
            request.copies.insert(from.clone());
        }
    }
}

/// Answers requests that have enough acknowledgements or have reached their deadline.
pub(super) fn answer_operators(
    state: &mut ConfigurationState,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let copies = state.settings.copies;
    state.pending_withdrawals.retain(|&request, pending| {
        let is_done = pending.copies.len() >= copies || now >= pending.deadline;
        if is_done {
            effects.push(ConfigurationEffect::WithdrawalAccepted {
                request,
                copies: pending.copies.len(),
            });
        }
        !is_done
    });
}

/// Requests a peer's withdrawn keys if its digest differs from the own.
pub(super) fn compare(
    state: &mut ConfigurationState,
    from: &VmId,
    digest: &ConfigurationDigest,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let is_same = digest.withdrawn == state.withdrawn.digest();
    let is_skipped = state.mutated(ConfigurationMutation::SkipWithdrawalForwarding);
    if is_same || is_skipped || now < state.next_withdrawals_request {
        return;
    }
    state.next_withdrawals_request = now + state.settings.retry_period;
    effects.push(ConfigurationEffect::Send {
        to: from.clone(),
        message: ConfigurationMessage::WithdrawalsRequest {
            groups: state.withdrawn.groups(),
        },
    });
}

/// Sends a peer the keys of the groups whose digests differ.
pub(super) fn answer_request(
    state: &ConfigurationState,
    from: VmId,
    groups: &[WithdrawnDigest],
    effects: &mut Vec<ConfigurationEffect>,
) {
    let entries = state.withdrawn.differing(groups);
    if !entries.is_empty() {
        send(from, &entries, Vec::new(), effects);
    }
}

/// Requests a check of which keys recorded before the configuration in force it still
/// contains.
pub(super) fn check_keys(state: &ConfigurationState, effects: &mut Vec<ConfigurationEffect>) {
    let Some(version) = state.in_force else {
        return;
    };
    let keys = if state.mutated(ConfigurationMutation::ForgetUnrecorded) {
        state.withdrawn.iter().map(|entry| entry.key).collect()
    } else {
        state.withdrawn.recorded_before(version)
    };
    if !keys.is_empty() {
        effects.push(ConfigurationEffect::CheckKeys { keys });
    }
}

/// Removes checked keys that the configuration in force lacks, if they were recorded
/// before its version.
pub(super) fn keys_checked(
    state: &mut ConfigurationState,
    version: ObjectVersion,
    checked: &[KeyDigest],
    present: &[KeyDigest],
) {
    let mut removable: BTreeSet<KeyDigest> = state
        .withdrawn
        .recorded_before(version)
        .into_iter()
        .collect();
    if state.mutated(ConfigurationMutation::ForgetUnrecorded) {
        removable.extend(checked);
    }
    for key in checked {
        if removable.contains(key) && !present.contains(key) {
            state.withdrawn.remove(key);
        }
    }
}

/// Writes the record if keys are unrecorded, or reads it if its content is uncertain.
/// Only a relay does so, and only once it has listed the record.
pub(super) fn drive_record(
    state: &mut ConfigurationState,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    if !state.relay || state.record_too_old || !state.record_call.is_due(now) {
        return;
    }
    let expires_at = now + state.settings.answer_limit;
    if state.record_uncertain {
        state.record_call = PlatformCall::Waiting { expires_at };
        effects.push(ConfigurationEffect::ReadRecord);
        return;
    }
    let unrecorded = state.withdrawn.unrecorded();
    if unrecorded.is_empty() {
        return;
    }
    state.last_nonce += 1;
    let record = WithdrawalRecord {
        keys: state.withdrawn.iter().map(|entry| entry.key).collect(),
        holder: state.own_vm.clone(),
        nonce: state.last_nonce,
    };
    state.record_call = PlatformCall::Waiting { expires_at };
    state.record_sent = Some(record.clone());
    effects.push(ConfigurationEffect::StoreRecord {
        if_version: record_version(state),
        record,
        deadline: expires_at,
    });
}

/// Returns the known version of the record; zero for none.
fn record_version(state: &ConfigurationState) -> ObjectVersion {
    state
        .record
        .as_ref()
        .map_or_else(ObjectVersion::default, |object| object.version)
}

/// Merges the keys of the platform's record unless a version as new is known.
pub(super) fn adopt_record(
    state: &mut ConfigurationState,
    object: VersionedObject<WithdrawalRecord>,
    effects: &mut Vec<ConfigurationEffect>,
) {
    if object.version <= record_version(state) {
        return;
    }
    let recorded: BTreeSet<KeyDigest> = state
        .withdrawn
        .iter()
        .filter(|entry| entry.recorded.is_some())
        .map(|entry| entry.key)
        .collect();
    let entries: Vec<_> = object
        .value
        .keys
        .iter()
        .filter(|key| !recorded.contains(key))
        .map(|&key| WithdrawalEntry {
            key,
            recorded: Some(object.version),
        })
        .collect();
    state.record = Some(object);
    let changed = merge(state, &entries, effects);
    if !changed.is_empty() {
        let local = state.local.clone();
        forward(state, &changed, &local, effects);
    }
}

/// Processes the answer to a read of the record.
pub(super) fn record_read(
    state: &mut ConfigurationState,
    reply: ReadReply<WithdrawalRecord>,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let retry_at = match reply {
        ReadReply::Found(object) => {
            state.record_uncertain = false;
            adopt_record(state, object, effects);
            now
        }
        ReadReply::Missing => {
            state.record_uncertain = false;
            state.record = None;
            now
        }
        ReadReply::Unavailable => now + state.settings.retry_period,
    };
    state.record_call = PlatformCall::Idle { retry_at };
}

/// Processes the answer to an update of the record.
pub(super) fn record_stored(
    state: &mut ConfigurationState,
    reply: StoreReply<WithdrawalRecord>,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let sent = state.record_sent.take();
    match (reply, sent) {
        (StoreReply::Stored { version }, Some(record)) => {
            let object = VersionedObject {
                version,
                value: record,
            };
            adopt_record(state, object, effects);
        }
        (StoreReply::Conflict(Some(object)), _) => adopt_record(state, object, effects),
        // Outcome unknown or record missing: a read shows whether the keys are recorded.
        _ => state.record_uncertain = true,
    }
    state.record_call = PlatformCall::Idle { retry_at: now };
}
