//! Replication of claims from an owner to its replicas.

use super::granting::mark_durable;
use super::shard::{Holding, OwnerContext, ShardTenure};
use crate::claim::effect::ClaimEffect;
use crate::claim::key::ClaimKey;
use crate::claim::message::{ClaimMessage, CopyRecord};
use crate::claim::record::VmIncarnation;
use clementinepond_types::VmId;

/// Sends one changed claim to every replica.
pub(crate) fn copy_one(
    tenure: &mut ShardTenure<Holding>,
    key: ClaimKey,
    context: &mut OwnerContext<'_>,
) {
    let Some(record) = tenure.stage.active.get(&key) else {
        return;
    };
    let copy = record.to_copy(key, context.now);
    send_copies(tenure, None, vec![copy], context);
}

/// Sends copies to all replicas, or only to one.
///
/// Sends nothing until the stored object is known to name the replicas as witnesses.
pub(crate) fn send_copies(
    tenure: &mut ShardTenure<Holding>,
    only: Option<&VmId>,
    records: Vec<CopyRecord>,
    context: &mut OwnerContext<'_>,
) {
    let shard = tenure.shard;
    let stage = &mut tenure.stage;
    if !stage.activated || !stage.witnesses_confirmed {
        return;
    }
    for slot in &mut stage.replicas {
        if only.is_some_and(|only| *only != slot.vm) {
            continue;
        }
        if !records.is_empty() {
            slot.unacknowledged_since.get_or_insert(context.now);
        }
        context.effects.push(ClaimEffect::Send {
            to: slot.vm.clone(),
            message: ClaimMessage::Copy {
                shard,
                term: stage.term,
                incarnation: slot.incarnation,
                flushed: stage.flushed,
                records: records.clone(),
            },
        });
    }
}

/// Resends unacknowledged copies, drops unresponsive replicas and enlists others.
pub(crate) fn resend_copies(tenure: &mut ShardTenure<Holding>, context: &mut OwnerContext<'_>) {
    if context.now < tenure.stage.next_resend {
        return;
    }
    tenure.stage.next_resend = context.now + context.settings.copy_timeout;
    let slots: Vec<VmId> = tenure
        .stage
        .replicas
        .iter()
        .map(|slot| slot.vm.clone())
        .collect();
    for vm in slots {
        let records = unacknowledged(&tenure.stage, &vm, context);
        if !records.is_empty() {
            send_copies(tenure, Some(&vm), records, context);
        }
    }
    drop_unresponsive(&mut tenure.stage, context);
    enlist(tenure, context);
}

fn unacknowledged(stage: &Holding, vm: &VmId, context: &OwnerContext<'_>) -> Vec<CopyRecord> {
    stage
        .pending
        .iter()
        .filter_map(|key| stage.active.get(key).map(|record| (key, record)))
        .filter(|(_, record)| !record.copied_to.contains(vm))
        .take(context.settings.batch_limit)
        .map(|(key, record)| record.to_copy(*key, context.now))
        .collect()
}

/// Drops enlisted VMs that do not acknowledge or left the roster.
fn drop_unresponsive(stage: &mut Holding, context: &OwnerContext<'_>) {
    let timeout = context.settings.replica_timeout;
    for slot in &stage.replicas {
        let is_unresponsive = slot
            .unacknowledged_since
            .is_some_and(|since| context.now >= since + timeout);
        if is_unresponsive {
            stage.enlisted.remove(&slot.vm);
        }
    }
    stage
        .enlisted
        .retain(|vm, _| context.local_peers.contains(vm));
}

/// Requests further VMs to become replicas while too few are enlisted.
fn enlist(tenure: &mut ShardTenure<Holding>, context: &mut OwnerContext<'_>) {
    let shard = tenure.shard;
    let stage = &tenure.stage;
    if stage.closing || stage.enlisted.len() >= context.settings.replica_count {
        return;
    }
    for to in &context.local_peers {
        if !stage.enlisted.contains_key(to) {
            let term = stage.term;
            context.effects.push(ClaimEffect::Send {
                to: to.clone(),
                message: ClaimMessage::Enlist { shard, term },
            });
        }
    }
}

/// Records that a VM accepted to be a replica.
pub(crate) fn replica_enlisted(
    stage: &mut Holding,
    from: VmId,
    term: u64,
    incarnation: VmIncarnation,
) {
    if term == stage.term {
        stage.enlisted.insert(from, incarnation);
    }
}

/// Processes a replica's acknowledgement of copies.
pub(crate) fn copies_acknowledged(
    tenure: &mut ShardTenure<Holding>,
    from: &VmId,
    term: u64,
    incarnation: VmIncarnation,
    copied: &[(ClaimKey, u64)],
    context: &mut OwnerContext<'_>,
) {
    let stage = &mut tenure.stage;
    let slot = stage
        .replicas
        .iter_mut()
        .find(|slot| slot.vm == *from && slot.incarnation == incarnation);
    let Some(slot) = slot else {
        return;
    };
    if term != stage.term || !stage.witnesses_confirmed {
        return;
    }
    slot.unacknowledged_since = None;
    let mut durable = Vec::new();
    for (key, sequence) in copied {
        let Some(record) = stage.active.get_mut(key) else {
            continue;
        };
        if record.sequence != *sequence {
            continue;
        }
        record.copied_to.insert(from.clone());
        let copied = &record.copied_to;
        if stage.replicas.iter().all(|slot| copied.contains(&slot.vm)) {
            durable.push(*key);
        }
    }
    for key in durable {
        mark_durable(tenure, key, context);
    }
}
