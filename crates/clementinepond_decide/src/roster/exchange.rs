//! Heartbeats and the data that they carry.

use super::last_seen::{age_of, time_of};
use super::plan::{joinable_at, own_request};
use super::state::{RequestedTable, SentProbe};
use super::store::adopt_table;
use super::{
    MembershipStage, PeerHeartbeat, RelayContact, RosterDigest, RosterEffect, RosterMessage,
    RosterState,
};
use clementinepond_types::{DataCentreId, LocalTime, ObjectVersion, TimeSpan, VmId};
use std::collections::BTreeSet;

/// Rendezvous key that ranks relay candidates.
pub(super) const RELAY_KEY: &str = "relay";
/// Most relay contacts that one heartbeat carries.
const RELAY_CONTACTS_LIMIT: usize = 3;
/// Most unacknowledged probes that are tracked.
const MAX_PENDING_PROBES: usize = 64;

/// Sends the probes of one round, and a request to join if this VM is not a member.
pub(super) fn drive_round(
    state: &mut RosterState,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    state.next_round = now + state.settings.heartbeat_period;
    state.round += 1;
    let targets = round_targets(state, now);
    for to in targets {
        let message = probe(state, &to, now);
        effects.push(RosterEffect::Send { to, message });
    }
    probe_seeds(state, now, effects);
    request_join(state, now, effects);
}

/// Returns the members to probe in this round: the next ones in the probe order, the
/// other relay candidates if this VM is one, and one member of each other data centre
/// if it is a relay.
fn round_targets(state: &RosterState, now: LocalTime) -> BTreeSet<VmId> {
    let mut targets = BTreeSet::new();
    let others = &state.probe_order;
    for step in 0..state.settings.fan_out.min(others.len()) {
        let index = (state.round * state.settings.fan_out + step) % others.len();
        targets.extend(others.get(index).cloned());
    }
    targets.extend(candidate_peers(state, now));
    if state.relay {
        targets.extend(remote_targets(state));
    }
    targets
}

/// Returns the live relay candidates, best first.
pub(super) fn relay_candidates(state: &RosterState, now: LocalTime) -> Vec<VmId> {
    state
        .relay_order
        .iter()
        .filter(|vm| state.is_live(vm, now))
        .take(state.settings.relay_candidates)
        .cloned()
        .collect()
}

/// Returns the other relay candidates; empty if this VM is not a candidate.
fn candidate_peers(state: &RosterState, now: LocalTime) -> Vec<VmId> {
    let mut candidates = relay_candidates(state, now);
    if !candidates.contains(&state.own.vm) {
        return Vec::new();
    }
    candidates.retain(|vm| *vm != state.own.vm);
    candidates
}

fn remote_targets(state: &RosterState) -> Vec<VmId> {
    state
        .rosters
        .iter()
        .filter(|(data_centre, _)| **data_centre != state.own.data_centre)
        .filter_map(|(_, object)| {
            let members = &object.value.members;
            let index = state.round % members.len().max(1);
            members.keys().nth(index).cloned()
        })
        .collect()
}

fn probe(state: &mut RosterState, to: &VmId, now: LocalTime) -> RosterMessage {
    state.probe_number += 1;
    let number = state.probe_number;
    let probe = SentProbe {
        to: to.clone(),
        sent: now,
    };
    state.probes.insert(number, probe);
    while state.probes.len() > MAX_PENDING_PROBES {
        state.probes.pop_first();
    }
    RosterMessage::Probe {
        number,
        heartbeat: heartbeat(state, to, now),
    }
}

/// Probes the addresses from the settings while no other member is live.
fn probe_seeds(state: &RosterState, now: LocalTime, effects: &mut Vec<RosterEffect>) {
    let is_alone = state.live_members(now).len() <= 1;
    if !is_alone {
        return;
    }
    for address in &state.settings.seeds {
        if *address == state.own.address {
            continue;
        }
        let message = RosterMessage::Probe {
            number: 0,
            heartbeat: own_heartbeat(state, true, now),
        };
        effects.push(RosterEffect::SendAddress {
            address: address.clone(),
            message,
        });
    }
}

fn request_join(state: &RosterState, now: LocalTime, effects: &mut Vec<RosterEffect>) {
    let Some(object) = state.own_table() else {
        return;
    };
    if state.stage != MembershipStage::Joining || now < joinable_at(state, &object.value) {
        return;
    }
    let request = own_request(state, now);
    let others = state.relay_order.iter().filter(|vm| **vm != state.own.vm);
    for vm in others.take(state.settings.relay_candidates) {
        effects.push(RosterEffect::Send {
            to: vm.clone(),
            message: RosterMessage::Join(request.clone()),
        });
    }
}

fn heartbeat(state: &RosterState, to: &VmId, now: LocalTime) -> PeerHeartbeat {
    let knows_receiver = state
        .rosters
        .values()
        .any(|object| object.value.members.contains_key(to));
    own_heartbeat(state, !knows_receiver, now)
}

fn own_heartbeat(state: &RosterState, is_unknown_receiver: bool, now: LocalTime) -> PeerHeartbeat {
    let needs_address = is_unknown_receiver || state.own_entry().is_none();
    let last_seen = state.own_table().map(|object| {
        state
            .last_seen
            .list(object.version, &object.value, &state.complying, now)
    });
    PeerHeartbeat {
        data_centre: state.own.data_centre.clone(),
        incarnation: state.own.incarnation,
        address: needs_address.then(|| state.own.address.clone()),
        rosters: digests(state),
        last_seen,
        relay_contacts: relay_contacts(state, now),
        configuration: state.digest.clone(),
    }
}

fn digests(state: &RosterState) -> Vec<RosterDigest> {
    state
        .rosters
        .iter()
        .map(|(data_centre, object)| RosterDigest {
            data_centre: data_centre.clone(),
            version: object.version,
        })
        .collect()
}

fn relay_contacts(state: &RosterState, now: LocalTime) -> Vec<RelayContact> {
    let mut relay_contacts: Vec<_> = state
        .relay_contacts
        .iter()
        .map(|(vm, &at)| RelayContact {
            vm: vm.clone(),
            age: age_of(at, now),
        })
        .filter(|contact| time_of(contact.age, now).is_some())
        .collect();
    relay_contacts.sort_by_key(|contact| contact.age);
    relay_contacts.truncate(RELAY_CONTACTS_LIMIT);
    relay_contacts
}

/// Handles a message from a peer.
pub(super) fn received(
    state: &mut RosterState,
    from: VmId,
    message: RosterMessage,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    match message {
        RosterMessage::Probe { number, heartbeat } => {
            merge(state, &from, heartbeat, now, effects);
            let heartbeat = self::heartbeat(state, &from, now);
            effects.push(RosterEffect::Send {
                to: from,
                message: RosterMessage::Ack { number, heartbeat },
            });
        }
        RosterMessage::Ack { number, heartbeat } => {
            let is_current = is_current(state, &heartbeat);
            merge(state, &from, heartbeat, now, effects);
            acknowledge(state, &from, number, is_current);
        }
        RosterMessage::TableRequest { data_centre } => {
            if let Some(object) = state.rosters.get(&data_centre) {
                effects.push(RosterEffect::Send {
                    to: from,
                    message: RosterMessage::Table(object.clone()),
                });
            }
        }
        RosterMessage::Table(object) => adopt_table(state, object, now, effects),
        RosterMessage::Join(request) => {
            state.joiners.insert(from, (request, now));
        }
    }
}

/// Returns whether the peer is in the own data centre and knows no newer table of it.
fn is_current(state: &RosterState, heartbeat: &PeerHeartbeat) -> bool {
    let own = &state.own.data_centre;
    heartbeat.data_centre == *own
        && heartbeat
            .rosters
            .iter()
            .filter(|digest| digest.data_centre == *own)
            .all(|digest| digest.version <= state.own_version())
}

fn acknowledge(state: &mut RosterState, from: &VmId, number: u64, is_current: bool) {
    let is_awaited = state
        .probes
        .get(&number)
        .is_some_and(|sent| sent.to == *from);
    if !is_awaited {
        return;
    }
    if let Some(sent) = state.probes.remove(&number)
        && is_current
    {
        state.record_contact(from, sent.sent);
    }
}

fn merge(
    state: &mut RosterState,
    from: &VmId,
    heartbeat: PeerHeartbeat,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    if let Some(address) = heartbeat.address {
        effects.push(RosterEffect::LearnAddress {
            vm: from.clone(),
            address,
        });
    }
    if heartbeat.data_centre == state.own.data_centre {
        state.last_seen.record(from, now);
        merge_last_seen(state, heartbeat.last_seen.as_ref(), now);
        merge_relay_contacts(state, &heartbeat.relay_contacts, now);
    }
    for digest in heartbeat.rosters {
        request_table(state, from, &digest, now, effects);
    }
    if let Some(digest) = heartbeat.configuration {
        effects.push(RosterEffect::PeerDigest {
            from: from.clone(),
            digest,
        });
    }
}

fn merge_last_seen(state: &mut RosterState, list: Option<&super::LastSeenList>, now: LocalTime) {
    let own: &DataCentreId = &state.own.data_centre;
    if let (Some(list), Some(object)) = (list, state.rosters.get(own))
        && list.version == object.version
    {
        state
            .last_seen
            .merge(list, &object.value, &mut state.complying, now);
    }
}

fn merge_relay_contacts(state: &mut RosterState, relay_contacts: &[RelayContact], now: LocalTime) {
    for contact in relay_contacts {
        let Some(at) = time_of(contact.age, now) else {
            continue;
        };
        if contact.vm != state.own.vm {
            let known = state.relay_contacts.entry(contact.vm.clone()).or_insert(at);
            *known = at.max(*known);
        }
    }
}

fn request_table(
    state: &mut RosterState,
    from: &VmId,
    digest: &RosterDigest,
    now: LocalTime,
    effects: &mut Vec<RosterEffect>,
) {
    let known = state
        .rosters
        .get(&digest.data_centre)
        .map_or_else(ObjectVersion::default, |object| object.version);
    let requested = state.requested.get(&digest.data_centre);
    let is_requested = requested
        .is_some_and(|requested| digest.version <= requested.version && now < requested.retry);
    if digest.version <= known || is_requested {
        return;
    }
    let requested = RequestedTable {
        version: digest.version,
        retry: now + TimeSpan::from_secs(1),
    };
    state
        .requested
        .insert(digest.data_centre.clone(), requested);
    effects.push(RosterEffect::Send {
        to: from.clone(),
        message: RosterMessage::TableRequest {
            data_centre: digest.data_centre.clone(),
        },
    });
}
