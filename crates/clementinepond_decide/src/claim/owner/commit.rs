//! Group commit of a shard's changes to its platform object.

use super::granting::mark_durable;
use super::shard::{
    ActiveState, Collecting, Commit, Holding, OwnerContext, ReplicaSlot, SettledRecord, ShardEntry,
    ShardTenure,
};
use super::takeover::{assemble, choose_replicas, start_read};
use crate::claim::effect::ClaimEffect;
use crate::claim::key::ClaimKey;
use crate::claim::object::{RunningRecord, ShardObject, ShardWitness, encode_batches};
use crate::claim::settings::ClaimMutation;
use crate::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_types::{LocalTime, ObjectVersion, TimeSpan};
use std::collections::BTreeMap;

/// Starts ownership with a write of the new term and the collected copies.
pub(crate) fn activate(
    tenure: ShardTenure<Collecting>,
    context: &mut OwnerContext<'_>,
) -> ShardEntry {
    let shard = tenure.shard;
    let stage = assemble(tenure.stage, context);
    let mut tenure = ShardTenure { shard, stage };
    write(&mut tenure, context);
    ShardEntry::Holding(Box::new(tenure))
}

/// Writes the object if that is due, or reads it after a write with unknown outcome.
pub(crate) fn flush(tenure: &mut ShardTenure<Holding>, context: &mut OwnerContext<'_>) {
    let shard = tenure.shard;
    let stage = &mut tenure.stage;
    if let Some(commit) = &mut stage.commit {
        if commit
            .reread_at
            .is_some_and(|reread_at| context.now >= reread_at)
        {
            commit.reread_at = None;
            context.effects.push(ClaimEffect::Read { shard });
        }
        return;
    }
    if context.now < stage.last_write_at + context.settings.commit_gap {
        return;
    }
    if is_due(stage, context) {
        write(tenure, context);
    }
}

fn is_due(stage: &Holding, context: &OwnerContext<'_>) -> bool {
    let Some(dirty_since) = stage.dirty_since else {
        return stage.closing || !stage.activated || needs_replica_change(stage, context);
    };
    stage.closing
        || !stage.activated
        || needs_replica_change(stage, context)
        || context.now >= dirty_since + context.settings.commit_interval
        || is_urgent(stage, context)
}

/// Returns whether a change is still not durable after `copy_timeout`; without
/// confirmed witnesses no time is allowed, since copies cannot make it durable.
fn is_urgent(stage: &Holding, context: &OwnerContext<'_>) -> bool {
    let copy_wait = if stage.witnesses_confirmed {
        context.settings.copy_timeout
    } else {
        TimeSpan::ZERO
    };
    stage
        .pending
        .iter()
        .filter_map(|key| stage.active.get(key))
        .any(|record| context.now >= record.changed_at + copy_wait)
}

/// Returns whether a write must name other replicas or confirm the current ones.
fn needs_replica_change(stage: &Holding, context: &OwnerContext<'_>) -> bool {
    let target = target_replicas(stage, context);
    let same = target.len() == stage.replicas.len()
        && target
            .iter()
            .zip(&stage.replicas)
            .all(|(a, b)| a.vm == b.vm && a.incarnation == b.incarnation);
    !same || (!target.is_empty() && !stage.witnesses_confirmed)
}

fn target_replicas(stage: &Holding, context: &OwnerContext<'_>) -> Vec<ReplicaSlot> {
    if stage.closing {
        return Vec::new();
    }
    choose_replicas(&stage.enlisted, context)
}

fn write(tenure: &mut ShardTenure<Holding>, context: &mut OwnerContext<'_>) {
    let shard = tenure.shard;
    let number = context.next_write();
    let stage = &mut tenure.stage;
    let replicas = if needs_replica_change(stage, context) {
        target_replicas(stage, context)
    } else {
        stage.replicas.clone()
    };
    if needs_replica_change(stage, context)
        && context.settings.mutation != ClaimMutation::CopyBeforeWitness
    {
        // Until the outcome of this write is known, the stored object may name
        // either set of witnesses, so acknowledgements do not count.
        stage.witnesses_confirmed = false;
    }
    if context.settings.mutation == ClaimMutation::CopyBeforeWitness {
        stage.replicas.clone_from(&replicas);
        stage.witnesses_confirmed = !replicas.is_empty();
    }
    let object = encode(stage, &replicas, number, context);
    stage.commit = Some(Commit {
        write: number,
        covered_sequence: stage.sequence,
        replicas,
        reread_at: None,
    });
    stage.last_write_at = context.now;
    stage.dirty_since = None;
    context.effects.push(ClaimEffect::Store {
        shard,
        expected: stage.version,
        object,
    });
}

fn encode(
    stage: &Holding,
    replicas: &[ReplicaSlot],
    write: u64,
    context: &OwnerContext<'_>,
) -> ShardObject {
    let now = context.now;
    let mut settled = stage.settled.clone();
    let mut running = Vec::new();
    for (key, record) in &stage.active {
        if let ActiveState::Running { holder, expiry } = &record.state {
            running.push(RunningRecord {
                key: *key,
                fingerprint: record.fingerprint,
                dated: record.dated,
                holder: holder.clone(),
                time_left: now.until(*expiry),
            });
        } else {
            settled.insert(*key, settled_record(stage, key, context));
        }
    }
    let quarantine_left = stage
        .quarantine
        .map_or(TimeSpan::ZERO, |quarantine| now.until(quarantine.until));
    ShardObject {
        term: stage.term,
        epoch: context.epoch,
        holder: context.vm.clone(),
        incarnation: context.incarnation,
        write,
        witnesses: witnesses(replicas, context),
        quarantine_left,
        running,
        batches: encode_batches(&settled, context.settings.retention, now),
    }
}

fn witnesses(replicas: &[ReplicaSlot], context: &OwnerContext<'_>) -> Vec<ShardWitness> {
    if replicas.is_empty() {
        // Without replicas a claim is granted only once it is in the stored object.
        return Vec::new();
    }
    let own = ShardWitness {
        vm: context.vm.clone(),
        incarnation: context.incarnation,
    };
    let others = replicas.iter().map(|replica| ShardWitness {
        vm: replica.vm.clone(),
        incarnation: replica.incarnation,
    });
    std::iter::once(own).chain(others).collect()
}

fn settled_record(stage: &Holding, key: &ClaimKey, context: &OwnerContext<'_>) -> SettledRecord {
    let record = &stage.active[key];
    SettledRecord {
        fingerprint: record.fingerprint,
        dated: record.dated,
        answered: matches!(record.state, ActiveState::Answered(_)),
        expires_at: record.changed_at + context.settings.retention_of(record.dated),
    }
}

/// Processes the answer to a write; returns the tenure as an error if the ownership was
/// lost.
pub(crate) fn commit_stored(
    mut tenure: ShardTenure<Holding>,
    write: u64,
    reply: StoreReply<ShardObject>,
    context: &mut OwnerContext<'_>,
) -> Result<ShardEntry, Box<ShardTenure<Holding>>> {
    let is_outstanding = tenure
        .stage
        .commit
        .as_ref()
        .is_some_and(|commit| commit.write == write);
    if !is_outstanding {
        return Ok(ShardEntry::Holding(Box::new(tenure)));
    }
    match reply {
        StoreReply::Stored { version } => stored(&mut tenure, version, context),
        StoreReply::Conflict(Some(found)) => return resolve(tenure, found, context),
        StoreReply::Conflict(None) => return Err(Box::new(tenure)),
        StoreReply::Unknown if context.settings.mutation == ClaimMutation::TrustUnknownStore => {
            let version = tenure.stage.version.unwrap_or_default().next();
            stored(&mut tenure, version, context);
        }
        StoreReply::Unknown => {
            if let Some(commit) = &mut tenure.stage.commit {
                commit.reread_at = Some(context.now);
            }
            flush(&mut tenure, context);
        }
    }
    Ok(ShardEntry::Holding(Box::new(tenure)))
}

/// Processes a read that determines whether a write with unknown outcome was stored.
pub(crate) fn commit_read(
    mut tenure: ShardTenure<Holding>,
    reply: ReadReply<ShardObject>,
    context: &mut OwnerContext<'_>,
) -> Result<ShardEntry, Box<ShardTenure<Holding>>> {
    let retry_at = context.now + context.settings.commit_gap;
    match (&mut tenure.stage.commit, reply) {
        (None, _) => {}
        (Some(_), ReadReply::Found(found)) => return resolve(tenure, found, context),
        (Some(commit), ReadReply::Unavailable) => commit.reread_at = Some(retry_at),
        (Some(_), ReadReply::Missing) => {
            if tenure.stage.version.is_some() {
                return Err(Box::new(tenure));
            }
            retry(&mut tenure.stage, context.now);
        }
    }
    Ok(ShardEntry::Holding(Box::new(tenure)))
}

/// Compares the stored object with the outstanding write.
fn resolve(
    mut tenure: ShardTenure<Holding>,
    found: VersionedObject<ShardObject>,
    context: &mut OwnerContext<'_>,
) -> Result<ShardEntry, Box<ShardTenure<Holding>>> {
    let stage = &mut tenure.stage;
    let own = context.is_own(&found.value) && found.value.term == stage.term;
    let write = stage.commit.as_ref().map(|commit| commit.write);
    if own && write == Some(found.value.write) {
        stored(&mut tenure, found.version, context);
    } else if own || stage.version == Some(found.version) {
        // This write is not known to be stored: the object is unchanged, or holds
        // another write of this process in this term.
        stage.version = Some(found.version);
        retry(stage, context.now);
    } else if stage.version > Some(found.version) {
        // The read is outdated; read again.
        if let Some(commit) = &mut stage.commit {
            commit.reread_at = Some(context.now + context.settings.commit_gap);
        }
    } else {
        return Err(Box::new(tenure));
    }
    Ok(ShardEntry::Holding(Box::new(tenure)))
}

/// Discards the outstanding write, so that its changes are written again.
fn retry(stage: &mut Holding, now: LocalTime) {
    stage.commit = None;
    stage.dirty_since.get_or_insert(now);
}

/// Applies a stored write: its changes are durable, and acknowledgements of its
/// replicas count.
fn stored(
    tenure: &mut ShardTenure<Holding>,
    version: ObjectVersion,
    context: &mut OwnerContext<'_>,
) {
    let stage = &mut tenure.stage;
    let Some(commit) = stage.commit.take() else {
        return;
    };
    stage.version = Some(version);
    stage.activated = true;
    stage.flushed = commit.covered_sequence;
    replace_replicas(stage, commit.replicas);
    stage.witnesses_confirmed = !stage.replicas.is_empty();
    let durable: Vec<ClaimKey> = stage
        .pending
        .iter()
        .filter(|key| stage.active[key].sequence <= commit.covered_sequence)
        .copied()
        .collect();
    for key in durable {
        mark_durable(tenure, key, context);
    }
    settle_flushed(&mut tenure.stage, context);
    tenure.stage.next_resend = context.now;
    super::copying::resend_copies(tenure, context);
}

/// Sets the replicas of a stored write. Members that stay keep their time without an
/// acknowledgement; a changed set invalidates the acknowledgements of copies.
fn replace_replicas(stage: &mut Holding, replicas: Vec<ReplicaSlot>) {
    let known: BTreeMap<_, _> = stage
        .replicas
        .drain(..)
        .map(|slot| ((slot.vm, slot.incarnation), slot.unacknowledged_since))
        .collect();
    let same_set = known.len() == replicas.len()
        && replicas
            .iter()
            .all(|slot| known.contains_key(&(slot.vm.clone(), slot.incarnation)));
    if !same_set {
        for record in stage.active.values_mut() {
            record.copied_to.clear();
        }
    }
    stage.replicas = replicas;
    for slot in &mut stage.replicas {
        let same = known.get(&(slot.vm.clone(), slot.incarnation));
        slot.unacknowledged_since = same.copied().flatten();
    }
}

/// Moves ended claims without an answer to their compact form once they are stored.
fn settle_flushed(stage: &mut Holding, context: &OwnerContext<'_>) {
    let ended: Vec<ClaimKey> = stage
        .active
        .iter()
        .filter(|(_, record)| record.sequence <= stage.flushed && record.durable)
        .filter(|(_, record)| {
            matches!(
                record.state,
                ActiveState::Unknown | ActiveState::Answered(None)
            )
        })
        .map(|(key, _)| *key)
        .collect();
    for key in ended {
        let record = settled_record(stage, &key, context);
        stage.active.remove(&key);
        stage.settled.insert(key, record);
    }
}

/// Returns whether a closing shard is stored completely and without witnesses.
pub(crate) fn release_done(stage: &Holding) -> bool {
    stage.closing
        && stage.activated
        && stage.commit.is_none()
        && stage.replicas.is_empty()
        && stage.flushed == stage.sequence
}

/// Starts the takeover again after the ownership was lost.
pub(crate) fn restart_takeover(
    tenure: &ShardTenure<Holding>,
    context: &mut OwnerContext<'_>,
) -> ShardEntry {
    start_read(tenure.shard, context)
}
