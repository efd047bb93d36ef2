//! Takeover of a shard from its former owner.

use super::shard::{
    ActiveRecord, ActiveState, Collecting, Holding, OwnerContext, Quarantine, Reading, ReplicaSlot,
    ShardEntry, ShardTenure, WitnessProgress,
};
use crate::claim::effect::ClaimEffect;
use crate::claim::key::{ClaimKey, ShardNumber};
use crate::claim::message::{ClaimMessage, CollectedCopies, CopyRecord, CopyState};
use crate::claim::object::{RunningRecord, ShardObject, ShardWitness, decode_batches};
use crate::claim::record::VmIncarnation;
use crate::claim::settings::ClaimMutation;
use crate::port::{ReadReply, VersionedObject};
use clementinepond_types::{LocalTime, TimeSpan, VmId};
use std::collections::{BTreeMap, BTreeSet};

/// Longest time that a new owner waits for replicas to enlist, in copy timeouts.
const ENLIST_WAIT_IN_COPY_TIMEOUTS: u64 = 5;

/// Starts a takeover with a read of the object.
pub(crate) fn start_read(shard: ShardNumber, context: &mut OwnerContext<'_>) -> ShardEntry {
    context.effects.push(ClaimEffect::Read { shard });
    let stage = Reading {
        read_at: context.now,
        retry_at: LocalTime::NEVER,
    };
    ShardEntry::Reading(ShardTenure { shard, stage })
}

/// Schedules another read of the object after `commit_gap`.
fn retry_read_later(shard: ShardNumber, context: &OwnerContext<'_>) -> ShardEntry {
    let stage = Reading {
        read_at: context.now,
        retry_at: context.now + context.settings.commit_gap,
    };
    ShardEntry::Reading(ShardTenure { shard, stage })
}

/// Processes the read of the object and starts to collect from its witnesses.
pub(crate) fn read_replied(
    tenure: ShardTenure<Reading>,
    reply: ReadReply<ShardObject>,
    context: &mut OwnerContext<'_>,
) -> ShardEntry {
    if tenure.stage.retry_at != LocalTime::NEVER {
        return ShardEntry::Reading(tenure);
    }
    let found = match reply {
        ReadReply::Found(found) => Some(found),
        ReadReply::Missing => None,
        ReadReply::Unavailable => return retry_read_later(tenure.shard, context),
    };
    // Epochs of different data centres cannot be compared.
    let newer = found.as_ref().is_some_and(|found| {
        !context.remote_peers.contains(&found.value.holder) && found.value.epoch > context.epoch
    });
    if newer {
        // A newer roster assigned the shard to another VM; wait for that roster.
        return retry_read_later(tenure.shard, context);
    }
    let stage = collecting(found, tenure.stage.read_at, context);
    takeover_step(tenure.enter(stage), context)
}

fn collecting(
    found: Option<VersionedObject<ShardObject>>,
    read_at: LocalTime,
    context: &OwnerContext<'_>,
) -> Collecting {
    let version = found.as_ref().map(|found| found.version);
    let former = found.map(|found| found.value);
    let term = former.as_ref().map_or(0, |former| former.term) + 1;
    let witnesses = former
        .iter()
        .flat_map(|former| &former.witnesses)
        .map(|witness| (witness.clone(), WitnessProgress::Waiting(None)))
        .collect();
    Collecting {
        term,
        version,
        read_at,
        former,
        witnesses,
        copies: BTreeMap::new(),
        enlisted: BTreeMap::new(),
        started_at: context.now,
        next_send: context.now,
    }
}

/// Reads again or resends messages, if that is due.
pub(crate) fn takeover_tick(entry: ShardEntry, context: &mut OwnerContext<'_>) -> ShardEntry {
    match entry {
        ShardEntry::Reading(tenure) if context.now >= tenure.stage.retry_at => {
            start_read(tenure.shard, context)
        }
        ShardEntry::Collecting(tenure) => takeover_step(*tenure, context),
        other => other,
    }
}

/// Starts ownership once collecting and enlisting are finished, or sends the messages
/// that are due.
fn takeover_step(
    mut tenure: ShardTenure<Collecting>,
    context: &mut OwnerContext<'_>,
) -> ShardEntry {
    mark_lost_witnesses(&mut tenure.stage, context);
    if is_collected(&tenure.stage, context) && is_enlisted(&tenure.stage, context) {
        return super::commit::activate(tenure, context);
    }
    if context.now >= tenure.stage.next_send {
        send_collects(&mut tenure, context);
    }
    ShardEntry::Collecting(Box::new(tenure))
}

/// Marks witnesses as lost whose VM left all known rosters, or which are earlier
/// processes of this VM.
fn mark_lost_witnesses(stage: &mut Collecting, context: &OwnerContext<'_>) {
    for (witness, progress) in &mut stage.witnesses {
        let replaced = witness.vm == *context.vm && witness.incarnation != context.incarnation;
        // The former owner and its replicas may belong to another data centre.
        let removed = witness.vm != *context.vm
            && !context.local_peers.contains(&witness.vm)
            && !context.remote_peers.contains(&witness.vm);
        if (replaced || removed) && *progress != WitnessProgress::Complete {
            *progress = WitnessProgress::Lost;
        }
    }
}

fn is_collected(stage: &Collecting, context: &OwnerContext<'_>) -> bool {
    let progress = || stage.witnesses.values();
    context.settings.mutation == ClaimMutation::SkipCollect
        || progress().any(|one| *one == WitnessProgress::Complete)
        || progress().all(|one| *one == WitnessProgress::Lost)
}

fn is_enlisted(stage: &Collecting, context: &OwnerContext<'_>) -> bool {
    let wanted = context
        .settings
        .replica_count
        .min(context.local_peers.len());
    let wait = context
        .settings
        .copy_timeout
        .fraction(ENLIST_WAIT_IN_COPY_TIMEOUTS, 1);
    stage.enlisted.len() >= wanted || context.now >= stage.started_at + wait
}

fn send_collects(tenure: &mut ShardTenure<Collecting>, context: &mut OwnerContext<'_>) {
    let shard = tenure.shard;
    let stage = &mut tenure.stage;
    stage.next_send = context.now + context.settings.resend_interval;
    let term = stage.term;
    for (witness, progress) in &stage.witnesses {
        if let WitnessProgress::Waiting(after) = progress {
            let message = ClaimMessage::Collect {
                shard,
                term,
                former: stage.former.as_ref().map_or(0, |former| former.term),
                incarnation: witness.incarnation,
                after: *after,
            };
            let to = witness.vm.clone();
            context.effects.push(ClaimEffect::Send { to, message });
        }
    }
    for to in context
        .local_peers
        .iter()
        .take(context.settings.replica_count)
    {
        if !stage.enlisted.contains_key(to) {
            context.effects.push(ClaimEffect::Send {
                to: to.clone(),
                message: ClaimMessage::Enlist { shard, term },
            });
        }
    }
}

/// Processes one batch of a witness's records.
pub(crate) fn collected(
    mut tenure: ShardTenure<Collecting>,
    from: VmId,
    incarnation: VmIncarnation,
    after: Option<ClaimKey>,
    copies: CollectedCopies,
    context: &mut OwnerContext<'_>,
) -> ShardEntry {
    let witness = ShardWitness {
        vm: from,
        incarnation,
    };
    let stage = &mut tenure.stage;
    let Some(progress) = stage.witnesses.get_mut(&witness) else {
        return ShardEntry::Collecting(Box::new(tenure));
    };
    if *progress != WitnessProgress::Waiting(after) {
        return ShardEntry::Collecting(Box::new(tenure));
    }
    match copies {
        CollectedCopies::Lost => *progress = WitnessProgress::Lost,
        CollectedCopies::Records { records, more } => {
            let last = records.last().map(|record| record.key);
            *progress = match last {
                Some(last) if more => WitnessProgress::Waiting(Some(last)),
                _ => WitnessProgress::Complete,
            };
            for record in records {
                keep_most_final(&mut stage.copies, record);
            }
            stage.next_send = context.now;
        }
    }
    takeover_step(tenure, context)
}

/// Ranks states by how final they are; a copy of higher rank replaces others.
fn finality(state: &CopyState) -> u8 {
    match state {
        CopyState::Released => 0,
        CopyState::Running { .. } => 1,
        CopyState::Unknown => 2,
        CopyState::Answered(None) => 3,
        CopyState::Answered(Some(_)) => 4,
    }
}

fn keep_most_final(copies: &mut BTreeMap<ClaimKey, CopyRecord>, record: CopyRecord) {
    let kept = copies.get(&record.key).map(|kept| finality(&kept.state));
    if kept.is_none_or(|kept| kept < finality(&record.state)) {
        copies.insert(record.key, record);
    }
}

/// Builds the owned shard from the former object and the collected copies.
pub(crate) fn assemble(stage: Collecting, context: &OwnerContext<'_>) -> Holding {
    let now = context.now;
    let all_lost = !stage.witnesses.is_empty()
        && stage
            .witnesses
            .values()
            .all(|one| *one == WitnessProgress::Lost);
    let mut holding = Holding {
        term: stage.term,
        version: stage.version,
        replicas: Vec::new(),
        enlisted: stage.enlisted,
        activated: false,
        witnesses_confirmed: false,
        active: BTreeMap::new(),
        pending: BTreeSet::new(),
        answers: BTreeMap::new(),
        answer_bytes: 0,
        settled: BTreeMap::new(),
        sequence: 0,
        flushed: 0,
        dirty_since: Some(now),
        last_write_at: LocalTime::ORIGIN,
        commit: None,
        quarantine: quarantine(stage.former.as_ref(), stage.read_at, all_lost, context),
        next_sweep: now,
        next_resend: now,
        closing: false,
    };
    if let Some(former) = stage.former {
        holding.settled = decode_batches(&former.batches, stage.read_at);
        for record in former.running {
            let copy = running_copy(record, now.since(stage.read_at));
            adopt(&mut holding, copy, context);
        }
    }
    for (key, copy) in stage.copies {
        if is_more_final(&holding, &copy) {
            let copy = resolve_holder_conflict(&holding, copy);
            holding.active.remove(&key);
            adopt(&mut holding, copy, context);
        }
    }
    holding
}

/// Returns whether a copy is more final than the settled record of its key, if any.
fn is_more_final(holding: &Holding, copy: &CopyRecord) -> bool {
    match holding.settled.get(&copy.key) {
        Some(settled) if settled.answered => matches!(copy.state, CopyState::Answered(Some(_))),
        Some(_) => matches!(copy.state, CopyState::Answered(_)),
        None => true,
    }
}

/// Marks a claim as unknown if the object and the copy name different holders.
///
/// Either holder may be the later one, and a `NotRun` report of the earlier must not
/// free the claim of the later.
fn resolve_holder_conflict(holding: &Holding, mut copy: CopyRecord) -> CopyRecord {
    let stored = holding.active.get(&copy.key).map(|record| &record.state);
    if let Some(ActiveState::Running { holder: stored, .. }) = stored
        && let CopyState::Running { holder, .. } = &copy.state
        && holder != stored
    {
        copy.state = CopyState::Unknown;
    }
    copy
}

fn running_copy(record: RunningRecord, elapsed: TimeSpan) -> CopyRecord {
    CopyRecord {
        key: record.key,
        fingerprint: record.fingerprint,
        dated: record.dated,
        sequence: 0,
        state: CopyState::Running {
            holder: record.holder,
            time_left: record.time_left.saturating_sub(elapsed),
        },
    }
}

/// Returns a new quarantine if all witnesses are lost, or the rest of the former one.
///
/// The rest counts as started now, since the object does not store the former start.
fn quarantine(
    former: Option<&ShardObject>,
    read_at: LocalTime,
    all_lost: bool,
    context: &OwnerContext<'_>,
) -> Option<Quarantine> {
    let since = context.now;
    if all_lost {
        let until = since + context.settings.retention_of(false);
        return Some(Quarantine { since, until });
    }
    let remaining = former.map_or(TimeSpan::ZERO, |former| former.quarantine_left);
    let until = read_at + remaining;
    (remaining > TimeSpan::ZERO).then_some(Quarantine { since, until })
}

/// Adds a claim of the former term as a change that is not durable yet.
fn adopt(holding: &mut Holding, copy: CopyRecord, context: &OwnerContext<'_>) {
    let state = match copy.state {
        CopyState::Released => return,
        CopyState::Running { holder, time_left } => ActiveState::Running {
            holder,
            expiry: context.now + time_left,
        },
        CopyState::Answered(answer) => ActiveState::Answered(answer),
        CopyState::Unknown => ActiveState::Unknown,
    };
    holding.settled.remove(&copy.key);
    let sequence = holding.next_sequence(context.now);
    let record = ActiveRecord {
        fingerprint: copy.fingerprint,
        dated: copy.dated,
        sequence,
        changed_at: context.now,
        state,
        durable: false,
        copied_to: BTreeSet::new(),
        waiters: Vec::new(),
        reporter: None,
    };
    holding.keep_answer(copy.key, &record);
    holding.active.insert(copy.key, record);
    holding.pending.insert(copy.key);
}

/// Returns the best-ranked enlisted VMs, up to `replica_count`.
pub(crate) fn choose_replicas(
    enlisted: &BTreeMap<VmId, VmIncarnation>,
    context: &OwnerContext<'_>,
) -> Vec<ReplicaSlot> {
    let chosen = context.local_peers.iter().filter_map(|vm| {
        enlisted.get(vm).map(|&incarnation| ReplicaSlot {
            vm: vm.clone(),
            incarnation,
            unacknowledged_since: None,
        })
    });
    chosen.take(context.settings.replica_count).collect()
}
