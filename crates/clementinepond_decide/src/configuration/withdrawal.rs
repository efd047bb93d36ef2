//! Withdrawals: taking in, passing on, recording and forgetting.
//!
//! A key is forgotten only when a configuration is in force that lacks it and
//! is newer than the record that holds it. Whoever hears from this VM then
//! hears of that configuration too, so the key stays refused.

use super::tree::{branches, rotated};
use super::watch::PlatformCall;
use super::{
    ConfigurationDigest, ConfigurationEffect, ConfigurationMessage, ConfigurationMutation,
    ConfigurationState, WithdrawalEntry, WithdrawalRecord, WithdrawnDigest,
};
use crate::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::{KeyDigest, LocalTime, ObjectVersion, VmId};
use std::collections::BTreeSet;

/// Operator's request that waits for copies on other VMs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PendingWithdrawal {
    keys: BTreeSet<KeyDigest>,
    copies: BTreeSet<VmId>,
    deadline: LocalTime,
}

/// Takes in an operator's request.
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
    let waiting = PendingWithdrawal {
        keys: keys.into_iter().collect(),
        copies: BTreeSet::new(),
        deadline: now + state.settings.copy_wait,
    };
    state.pending_withdrawals.insert(request, waiting);
}

/// Adds entries; returns those that changed the set.
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

/// Sends entries to every VM: one branch a remote data centre, the rest here.
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

/// Takes in withdrawn keys that a peer sent.
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

/// Counts a copy on another VM.
pub(super) fn copy_confirmed(
    state: &mut ConfigurationState,
    from: &VmId,
    entries: &[WithdrawalEntry],
) {
    let kept: BTreeSet<KeyDigest> = entries.iter().map(|entry| entry.key).collect();
    for waiting in state.pending_withdrawals.values_mut() {
        if waiting.keys.is_subset(&kept) {
            waiting.copies.insert(from.clone());
        }
    }
}

/// Answers operators whose requests have copies enough or waited enough.
pub(super) fn answer_operators(
    state: &mut ConfigurationState,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let copies = state.settings.copies;
    state.pending_withdrawals.retain(|&request, waiting| {
        let is_done = waiting.copies.len() >= copies || now >= waiting.deadline;
        if is_done {
            effects.push(ConfigurationEffect::WithdrawalAccepted {
                request,
                copies: waiting.copies.len(),
            });
        }
        !is_done
    });
}

/// Compares a peer's digest and asks for its keys when they differ.
pub(super) fn compare(
    state: &mut ConfigurationState,
    from: &VmId,
    digest: &ConfigurationDigest,
    now: LocalTime,
    effects: &mut Vec<ConfigurationEffect>,
) {
    let is_same = digest.withdrawn == state.withdrawn.digest();
    let keeps = state.mutated(ConfigurationMutation::SkipWithdrawalForwarding);
    if is_same || keeps || now < state.next_withdrawals_request {
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

/// Answers a peer with the keys of the groups in which it differs.
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

/// Asks the edge which keys the configuration in force still holds.
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

/// Forgets keys that the configuration in force lacks.
pub(super) fn keys_checked(
    state: &mut ConfigurationState,
    version: ObjectVersion,
    checked: &[KeyDigest],
    present: &[KeyDigest],
) {
    let mut may_forget: BTreeSet<KeyDigest> = state
        .withdrawn
        .recorded_before(version)
        .into_iter()
        .collect();
    if state.mutated(ConfigurationMutation::ForgetUnrecorded) {
        may_forget.extend(checked);
    }
    for key in checked {
        if may_forget.contains(key) && !present.contains(key) {
            state.withdrawn.remove(key);
        }
    }
}

/// Writes unrecorded keys to the platform, on a relay.
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

fn record_version(state: &ConfigurationState) -> ObjectVersion {
    state
        .record
        .as_ref()
        .map_or_else(ObjectVersion::default, |object| object.version)
}

/// Takes in the platform's record.
pub(super) fn adopt_record(
    state: &mut ConfigurationState,
    object: VersionedObject<WithdrawalRecord>,
    effects: &mut Vec<ConfigurationEffect>,
) {
    if object.version <= record_version(state) {
        return;
    }
    let known: BTreeSet<KeyDigest> = state
        .withdrawn
        .iter()
        .filter(|entry| entry.recorded.is_some())
        .map(|entry| entry.key)
        .collect();
    let entries: Vec<_> = object
        .value
        .keys
        .iter()
        .filter(|key| !known.contains(key))
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

/// Takes in the answer to a read of the record.
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

/// Takes in the answer to an update of the record.
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
        // The read shows whether the keys are recorded.
        _ => state.record_uncertain = true,
    }
    state.record_call = PlatformCall::Idle { retry_at: now };
}
