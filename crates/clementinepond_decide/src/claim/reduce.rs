//! From an event to effects.

use super::asker;
use super::effect::ClaimEffect;
use super::event::ClaimEvent;
use super::key::{ClaimKey, ShardNumber};
use super::message::{ClaimMessage, CollectedCopies};
use super::object::ShardObject;
use super::owner::{self, Holding, OwnerContext, ShardEntry, ShardTenure};
use super::placement::rank_members;
use super::record::ClaimTicket;
use super::replica::{self, HeldCopy, ReplicaShard};
use super::state::{ClaimState, RosterView};
use crate::port::{ReadReply, StoreReply};
use clementinepond_types::{DataCentreId, Epoch, LocalTime, VmId};
use std::collections::VecDeque;

/// Applies one event.
pub fn reduce(state: &mut ClaimState, event: ClaimEvent, now: LocalTime) -> Vec<ClaimEffect> {
    let mut queue: VecDeque<ClaimEffect> = apply(state, event, now).into();
    let mut effects = Vec::new();
    while let Some(effect) = queue.pop_front() {
        match effect {
            // A VM that asks itself needs no network.
            ClaimEffect::Send { to, message } if to == state.vm => {
                queue.extend(received(state, to, message, now));
            }
            other => effects.push(other),
        }
    }
    effects
}

fn apply(state: &mut ClaimState, event: ClaimEvent, now: LocalTime) -> Vec<ClaimEffect> {
    match event {
        ClaimEvent::Ask {
            ticket,
            account,
            route,
            key,
            date,
            fingerprint,
            deadline,
        } => {
            let key = ClaimKey::new(&account, &route, &key);
            asker::ask(state, ticket, key, fingerprint, date, deadline, now)
        }
        // The grant alone counts: after it the run may have happened.
        ClaimEvent::Dispatched { .. } => Vec::new(),
        ClaimEvent::Ended { ticket, outcome } => asker::ended(state, ticket, outcome, now),
        ClaimEvent::NotDispatched { ticket } => asker::not_dispatched(state, ticket, now),
        ClaimEvent::Abandoned { ticket } => asker::abandoned(state, ticket, now),
        ClaimEvent::Received { from, message } => received(state, from, message, now),
        ClaimEvent::RosterChanged {
            data_centre,
            epoch,
            members,
        } => roster_changed(state, data_centre, epoch, members, now),
        ClaimEvent::StoreReplied {
            shard,
            write,
            reply,
        } => store_replied(state, shard, write, reply, now),
        ClaimEvent::ReadReplied { shard, reply } => read_replied(state, shard, reply, now),
        ClaimEvent::Tick => tick(state, now),
        ClaimEvent::DataCentresChanged(data_centres) => {
            if state.settings.data_centres == data_centres {
                return Vec::new();
            }
            state.settings.data_centres = data_centres;
            assign(state, now)
        }
        ClaimEvent::Release => release(state, now),
    }
}

/// Runs one step on a shard and puts its next stage back.
fn with_shard(
    state: &mut ClaimState,
    shard: ShardNumber,
    now: LocalTime,
    step: impl FnOnce(
        ShardEntry,
        &mut OwnerContext<'_>,
    ) -> Result<ShardEntry, Box<ShardTenure<Holding>>>,
) -> Vec<ClaimEffect> {
    let Some(entry) = state.shards.remove(&shard) else {
        return Vec::new();
    };
    let others = others(state, shard);
    let epoch = state
        .home_roster()
        .map(|roster| roster.epoch)
        .unwrap_or_default();
    let mut context = OwnerContext {
        settings: &state.settings,
        vm: &state.vm,
        incarnation: state.incarnation,
        writes: &mut state.writes,
        epoch,
        others,
        now,
        effects: Vec::new(),
    };
    let outcome = step(entry, &mut context);
    let entry = match outcome {
        Ok(entry) => Ok(entry),
        Err(tenure) => {
            let next = owner::deposed(&tenure, &mut context);
            Err((tenure, next))
        }
    };
    let effects = context.effects;
    let entry = match entry {
        Ok(entry) => entry,
        Err((tenure, next)) => {
            surrender(state, *tenure, 0, now);
            if state.releasing || state.owner(shard).as_ref() != Some(&state.vm) {
                return effects;
            }
            next
        }
    };
    if let ShardEntry::Holding(tenure) = &entry
        && tenure.stage.activated
    {
        // The object holds what this VM kept for the former owner.
        state.replicas.remove(&shard);
    }
    state.shards.insert(shard, entry);
    effects
}

fn others(state: &ClaimState, shard: ShardNumber) -> Vec<VmId> {
    let members = state
        .home_roster()
        .map_or(&[][..], |roster| &roster.members);
    let mut ranked = rank_members(shard, members);
    ranked.retain(|vm| *vm != state.vm);
    ranked
}

/// Keeps the claims of a lost shard for its next owner.
fn surrender(state: &mut ClaimState, tenure: ShardTenure<Holding>, promised: u64, now: LocalTime) {
    let stage = tenure.stage;
    if !stage.activated {
        // Nothing was granted by copies in this term.
        return;
    }
    let records = stage
        .active
        .iter()
        .map(|(key, record)| {
            let held = HeldCopy {
                record: record.to_copy(*key, now),
                received_at: now,
            };
            (*key, held)
        })
        .collect();
    let replica = ReplicaShard {
        term: stage.term,
        promised: promised.max(stage.term),
        records,
    };
    state.replicas.insert(tenure.shard, replica);
}

fn received(
    state: &mut ClaimState,
    from: VmId,
    message: ClaimMessage,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let incarnation = state.incarnation;
    match message {
        ClaimMessage::Answer {
            incarnation: asked,
            ticket,
            reply,
        } if asked == incarnation => asker::answered(state, ticket, reply, now),
        ClaimMessage::ReportAcknowledged {
            incarnation: asked,
            ticket,
        } if asked == incarnation => asker::acknowledged(state, ticket),
        ClaimMessage::Answer { .. } | ClaimMessage::ReportAcknowledged { .. } => Vec::new(),
        ClaimMessage::Ask { key, .. } | ClaimMessage::Report { key, .. } => {
            let shard = key.shard(state.settings.shard_count);
            owner_received(state, shard, from, message, now)
        }
        ClaimMessage::Enlist { shard, term } => replica::enlist(state, from, shard, term),
        ClaimMessage::Copy {
            shard,
            term,
            incarnation: meant,
            flushed,
            records,
        } if meant == incarnation => {
            step_down(state, shard, term, now);
            replica::copy(state, from, shard, term, flushed, records, now)
        }
        // The owner means an earlier process; this one offers itself.
        ClaimMessage::Copy { shard, term, .. } => replica::enlist(state, from, shard, term),
        ClaimMessage::Collect {
            shard,
            term,
            former,
            incarnation: meant,
            after,
        } => {
            let copies = if meant == incarnation {
                step_down(state, shard, term, now);
                replica::collect(state, shard, term, former, after, now)
            } else {
                CollectedCopies::Forgotten
            };
            let message = ClaimMessage::Collected {
                shard,
                term,
                incarnation: meant,
                after,
                copies,
            };
            vec![ClaimEffect::Send { to: from, message }]
        }
        ClaimMessage::Enlisted { shard, .. }
        | ClaimMessage::CopyAcknowledged { shard, .. }
        | ClaimMessage::CopyRefused { shard, .. }
        | ClaimMessage::Collected { shard, .. } => owner_received(state, shard, from, message, now),
    }
}

/// Stops granting in a shard that a newer owner takes over.
fn step_down(state: &mut ClaimState, shard: ShardNumber, term: u64, now: LocalTime) {
    let Some(ShardEntry::Holding(tenure)) = state.shards.get(&shard) else {
        return;
    };
    if tenure.stage.term >= term {
        return;
    }
    if let Some(ShardEntry::Holding(tenure)) = state.shards.remove(&shard) {
        surrender(state, *tenure, term, now);
    }
}

fn owner_received(
    state: &mut ClaimState,
    shard: ShardNumber,
    from: VmId,
    message: ClaimMessage,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    with_shard(state, shard, now, |entry, context| match entry {
        ShardEntry::Holding(tenure) => holding_received(*tenure, from, message, context),
        ShardEntry::Collecting(tenure) => Ok(collecting_received(*tenure, from, message, context)),
        other @ ShardEntry::Reading(_) => Ok(other),
    })
}

fn collecting_received(
    mut tenure: ShardTenure<owner::Collecting>,
    from: VmId,
    message: ClaimMessage,
    context: &mut OwnerContext<'_>,
) -> ShardEntry {
    let current = tenure.stage.term;
    match message {
        ClaimMessage::Collected {
            term,
            incarnation,
            after,
            copies,
            ..
        } if term == current => owner::collected(tenure, from, incarnation, after, copies, context),
        ClaimMessage::Enlisted {
            term, incarnation, ..
        } if term == current => {
            tenure.stage.enlisted.insert(from, incarnation);
            owner::taking_tick(ShardEntry::Collecting(Box::new(tenure)), context)
        }
        _ => ShardEntry::Collecting(Box::new(tenure)),
    }
}

fn holding_received(
    mut tenure: ShardTenure<Holding>,
    from: VmId,
    message: ClaimMessage,
    context: &mut OwnerContext<'_>,
) -> Result<ShardEntry, Box<ShardTenure<Holding>>> {
    match message {
        ClaimMessage::Ask {
            holder,
            key,
            fingerprint,
            date,
            time_left,
        } => owner::ask(
            &mut tenure,
            holder,
            key,
            fingerprint,
            date,
            time_left,
            context,
        ),
        ClaimMessage::Report {
            holder,
            key,
            fingerprint,
            dated,
            report,
        } => owner::report(
            &mut tenure,
            &holder,
            key,
            fingerprint,
            dated,
            report,
            context,
        ),
        ClaimMessage::Enlisted {
            term, incarnation, ..
        } => owner::replica_enlisted(&mut tenure.stage, from, term, incarnation),
        ClaimMessage::CopyAcknowledged {
            term,
            incarnation,
            copied,
            ..
        } => owner::copies_acknowledged(&mut tenure, &from, term, incarnation, &copied, context),
        ClaimMessage::CopyRefused { term, .. } if term > tenure.stage.term => {
            return Err(Box::new(tenure));
        }
        _ => {}
    }
    owner::flush(&mut tenure, context);
    Ok(ShardEntry::Holding(Box::new(tenure)))
}

fn store_replied(
    state: &mut ClaimState,
    shard: ShardNumber,
    write: u64,
    reply: StoreReply<ShardObject>,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let mut effects = with_shard(state, shard, now, |entry, context| match entry {
        ShardEntry::Holding(tenure) => owner::commit_stored(*tenure, write, reply, context),
        other => Ok(other),
    });
    effects.extend(finish_release(state));
    effects
}

fn read_replied(
    state: &mut ClaimState,
    shard: ShardNumber,
    reply: ReadReply<ShardObject>,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let mut effects = with_shard(state, shard, now, |entry, context| match entry {
        ShardEntry::Reading(tenure) => Ok(owner::read_replied(tenure, reply, context)),
        ShardEntry::Holding(tenure) => owner::commit_read(*tenure, reply, context),
        other @ ShardEntry::Collecting(_) => Ok(other),
    });
    effects.extend(finish_release(state));
    effects
}

fn roster_changed(
    state: &mut ClaimState,
    data_centre: DataCentreId,
    epoch: Epoch,
    members: Vec<VmId>,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let former = state.rosters.get(&data_centre);
    if former.is_some_and(|former| former.epoch >= epoch) {
        return Vec::new();
    }
    let lost: Vec<VmId> = former.map_or_else(Vec::new, |former| {
        let gone = former.members.iter().filter(|vm| !members.contains(vm));
        gone.cloned().collect()
    });
    state
        .rosters
        .insert(data_centre, RosterView { epoch, members });
    let mut effects = end_lost_runs(state, &lost, now);
    effects.extend(assign(state, now));
    effects
}

fn end_lost_runs(state: &mut ClaimState, lost: &[VmId], now: LocalTime) -> Vec<ClaimEffect> {
    let shards: Vec<ShardNumber> = state.shards.keys().copied().collect();
    let mut effects = Vec::new();
    for shard in shards {
        effects.extend(with_shard(state, shard, now, |entry, context| {
            Ok(match entry {
                ShardEntry::Holding(mut tenure) => {
                    for vm in lost {
                        owner::holder_lost(&mut tenure, vm, context);
                    }
                    ShardEntry::Holding(tenure)
                }
                other => other,
            })
        }));
    }
    effects
}

/// Takes the shards that the roster gives to this VM and closes the others.
fn assign(state: &mut ClaimState, now: LocalTime) -> Vec<ClaimEffect> {
    let assigned = state.assigned_shards();
    let mut effects = close_others(state, &assigned, now);
    for shard in assigned {
        let reopened = match state.shards.get_mut(&shard) {
            Some(ShardEntry::Holding(tenure)) => {
                tenure.stage.closing = false;
                true
            }
            Some(_) => true,
            None => false,
        };
        if !reopened {
            let entry = ShardEntry::Reading(ShardTenure {
                shard,
                stage: owner::Reading {
                    read_at: now,
                    retry_at: now,
                },
            });
            state.shards.insert(shard, entry);
            effects.extend(with_shard(state, shard, now, |entry, context| {
                Ok(owner::taking_tick(entry, context))
            }));
        }
    }
    effects
}

fn close_others(
    state: &mut ClaimState,
    assigned: &[ShardNumber],
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let others: Vec<ShardNumber> = state
        .shards
        .keys()
        .filter(|shard| !assigned.contains(shard))
        .copied()
        .collect();
    let mut effects = Vec::new();
    for shard in others {
        if let Some(ShardEntry::Holding(tenure)) = state.shards.get_mut(&shard) {
            tenure.stage.closing = true;
            effects.extend(with_shard(state, shard, now, flush_step));
        } else {
            state.shards.remove(&shard);
        }
    }
    effects
}

fn flush_step(
    entry: ShardEntry,
    context: &mut OwnerContext<'_>,
) -> Result<ShardEntry, Box<ShardTenure<Holding>>> {
    Ok(match entry {
        ShardEntry::Holding(mut tenure) => {
            owner::sweep(&mut tenure, context);
            owner::resend_copies(&mut tenure, context);
            owner::flush(&mut tenure, context);
            ShardEntry::Holding(tenure)
        }
        other => owner::taking_tick(other, context),
    })
}

fn tick(state: &mut ClaimState, now: LocalTime) -> Vec<ClaimEffect> {
    let mut effects = Vec::new();
    let tickets: Vec<ClaimTicket> = state.tickets.keys().copied().collect();
    for ticket in tickets {
        effects.extend(asker::advance(state, ticket, now));
    }
    let shards: Vec<ShardNumber> = state.shards.keys().copied().collect();
    for shard in shards {
        effects.extend(with_shard(state, shard, now, flush_step));
    }
    effects.extend(finish_release(state));
    effects
}

fn release(state: &mut ClaimState, now: LocalTime) -> Vec<ClaimEffect> {
    state.releasing = true;
    let mut effects = close_others(state, &[], now);
    effects.extend(finish_release(state));
    effects
}

/// Drops the shards whose object holds everything.
fn finish_release(state: &mut ClaimState) -> Vec<ClaimEffect> {
    let before = state.shards.len();
    state.shards.retain(|_, entry| match entry {
        ShardEntry::Holding(tenure) => !owner::release_done(&tenure.stage),
        ShardEntry::Reading(_) | ShardEntry::Collecting(_) => true,
    });
    let done = state.releasing && state.shards.is_empty();
    if done && before > 0 {
        vec![ClaimEffect::Released]
    } else {
        Vec::new()
    }
}
