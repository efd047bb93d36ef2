//! Reducer of the claim part: applies an event to the state and returns effects.

use super::assignment::{assign, finish_release, release, roster_changed};
use super::effect::ClaimEffect;
use super::event::ClaimEvent;
use super::key::{ClaimKey, ShardNumber};
use super::message::{ClaimMessage, CollectedCopies};
use super::object::ShardObject;
use super::owner::{self, Holding, OwnerContext, ShardEntry, ShardTenure};
use super::record::ClaimTicket;
use super::replica;
use super::requester;
use super::shard_step::{step_down, tick_step, with_shard};
use super::state::ClaimState;
use crate::port::{ReadReply, StoreReply};
use clementinepond_types::{LocalTime, VmId};
use std::collections::VecDeque;

/// Applies one event and returns the effects that the I/O layer must execute.
pub fn reduce(state: &mut ClaimState, event: ClaimEvent, now: LocalTime) -> Vec<ClaimEffect> {
    let mut queue: VecDeque<ClaimEffect> = apply(state, event, now).into();
    let mut effects = Vec::new();
    while let Some(effect) = queue.pop_front() {
        match effect {
            // Messages of this VM to itself are handled here, without the network.
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
        ClaimEvent::Requested {
            ticket,
            account,
            route,
            key,
            date,
            fingerprint,
            deadline,
        } => {
            let key = ClaimKey::new(&account, &route, &key);
            requester::request(state, ticket, key, fingerprint, date, deadline, now)
        }
        // From the grant on, the request counts as possibly run.
        ClaimEvent::Dispatched { .. } => Vec::new(),
        ClaimEvent::Ended { ticket, outcome } => requester::ended(state, ticket, outcome, now),
        ClaimEvent::NotDispatched { ticket } => requester::not_dispatched(state, ticket, now),
        ClaimEvent::Abandoned { ticket } => requester::abandoned(state, ticket, now),
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

fn received(
    state: &mut ClaimState,
    from: VmId,
    message: ClaimMessage,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let incarnation = state.incarnation;
    match message {
        ClaimMessage::Answer {
            incarnation: addressee,
            ticket,
            reply,
        } if addressee == incarnation => requester::answered(state, ticket, reply, now),
        ClaimMessage::ReportAcknowledged {
            incarnation: addressee,
            ticket,
        } if addressee == incarnation => requester::acknowledged(state, ticket),
        ClaimMessage::Answer { .. } | ClaimMessage::ReportAcknowledged { .. } => Vec::new(),
        ClaimMessage::Request { key, .. } | ClaimMessage::Report { key, .. } => {
            let shard = key.shard(state.settings.shard_count);
            owner_received(state, shard, from, message, now)
        }
        ClaimMessage::Enlist { shard, term } => replica::enlist(state, from, shard, term),
        ClaimMessage::Copy {
            shard,
            term,
            incarnation: addressee,
            flushed,
            records,
        } if addressee == incarnation => {
            step_down(state, shard, term, now);
            replica::copy(state, from, shard, term, flushed, records, now)
        }
        // The copies were meant for an earlier process of this VM; this process
        // enlists as a replica instead.
        ClaimMessage::Copy { shard, term, .. } => replica::enlist(state, from, shard, term),
        ClaimMessage::Collect {
            shard,
            term,
            former,
            incarnation: addressee,
            after,
        } => {
            let copies = if addressee == incarnation {
                step_down(state, shard, term, now);
                replica::collect(state, shard, term, former, after, now)
            } else {
                CollectedCopies::Lost
            };
            let message = ClaimMessage::Collected {
                shard,
                term,
                incarnation: addressee,
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
            owner::takeover_tick(ShardEntry::Collecting(Box::new(tenure)), context)
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
        ClaimMessage::Request {
            holder,
            key,
            fingerprint,
            date,
            time_left,
        } => owner::request(
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

fn tick(state: &mut ClaimState, now: LocalTime) -> Vec<ClaimEffect> {
    let mut effects = Vec::new();
    let tickets: Vec<ClaimTicket> = state.tickets.keys().copied().collect();
    for ticket in tickets {
        effects.extend(requester::advance(state, ticket, now));
    }
    let shards: Vec<ShardNumber> = state.shards.keys().copied().collect();
    for shard in shards {
        effects.extend(with_shard(state, shard, now, tick_step));
    }
    effects.extend(finish_release(state));
    effects
}
