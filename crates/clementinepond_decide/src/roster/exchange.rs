//! Heartbeats and what they carry.

use super::heard::{age_of, moment_of};
use super::plan::{joinable_at, own_request};
use super::state::{AskedTable, SentProbe};
use super::store::adopt_table;
use super::{
    MembershipStage, PeerHeartbeat, PlatformSighting, RosterDigest, RosterEffect, RosterMessage,
    RosterState,
};
use clementinepond_types::{DataCentreId, LocalTime, ObjectVersion, TimeSpan, VmId};
use std::collections::BTreeSet;

/// Key that ranks relay candidates.
pub(super) const RELAY_KEY: &str = "relay";
/// Platform sightings that one heartbeat carries.
const SIGHTING_LIMIT: usize = 3;
/// Probes remembered while their acknowledgement is out.
const PROBE_LIMIT: usize = 64;

/// Sends the probes of one round.
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
    ask_to_join(state, now, effects);
}

/// Returns the members to probe this round.
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

/// Returns the relay candidates, best first.
pub(super) fn relay_candidates(state: &RosterState, now: LocalTime) -> Vec<VmId> {
    state
        .relay_order
        .iter()
        .filter(|vm| state.is_live(vm, now))
        .take(state.settings.relay_candidates)
        .cloned()
        .collect()
}

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
    while state.probes.len() > PROBE_LIMIT {
        state.probes.pop_first();
    }
    RosterMessage::Probe {
        number,
        heartbeat: heartbeat(state, to, now),
    }
}

/// Asks the addresses of the settings while no member is known or heard.
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

fn ask_to_join(state: &RosterState, now: LocalTime, effects: &mut Vec<RosterEffect>) {
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

fn own_heartbeat(state: &RosterState, is_stranger: bool, now: LocalTime) -> PeerHeartbeat {
    let needs_address = is_stranger || state.own_entry().is_none();
    let heard = state.own_table().map(|object| {
        state
            .heard
            .list(object.version, &object.value, &state.keeping, now)
    });
    PeerHeartbeat {
        data_centre: state.own.data_centre.clone(),
        incarnation: state.own.incarnation,
        address: needs_address.then(|| state.own.address.clone()),
        rosters: digests(state),
        heard,
        platform: sightings(state, now),
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

fn sightings(state: &RosterState, now: LocalTime) -> Vec<PlatformSighting> {
    let mut sightings: Vec<_> = state
        .sightings
        .iter()
        .map(|(vm, &at)| PlatformSighting {
            vm: vm.clone(),
            age: age_of(at, now),
        })
        .filter(|sighting| moment_of(sighting.age, now).is_some())
        .collect();
    sightings.sort_by_key(|sighting| sighting.age);
    sightings.truncate(SIGHTING_LIMIT);
    sightings
}

/// Takes in a message of a peer.
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

/// Returns whether the peer knows no newer table of the own data centre.
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
    let is_ours = state
        .probes
        .get(&number)
        .is_some_and(|sent| sent.to == *from);
    if !is_ours {
        return;
    }
    if let Some(sent) = state.probes.remove(&number)
        && is_current
    {
        state.note_contact(from, sent.sent);
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
        state.heard.note(from, now);
        merge_heard(state, heartbeat.heard.as_ref(), now);
        merge_sightings(state, &heartbeat.platform, now);
    }
    for digest in heartbeat.rosters {
        ask_for_table(state, from, &digest, now, effects);
    }
    if let Some(digest) = heartbeat.configuration {
        effects.push(RosterEffect::PeerDigest {
            from: from.clone(),
            digest,
        });
    }
}

fn merge_heard(state: &mut RosterState, list: Option<&super::HeardList>, now: LocalTime) {
    let own: &DataCentreId = &state.own.data_centre;
    if let (Some(list), Some(object)) = (list, state.rosters.get(own))
        && list.version == object.version
    {
        state
            .heard
            .merge(list, &object.value, &mut state.keeping, now);
    }
}

fn merge_sightings(state: &mut RosterState, sightings: &[PlatformSighting], now: LocalTime) {
    for sighting in sightings {
        let Some(at) = moment_of(sighting.age, now) else {
            continue;
        };
        if sighting.vm != state.own.vm {
            let known = state.sightings.entry(sighting.vm.clone()).or_insert(at);
            *known = at.max(*known);
        }
    }
}

fn ask_for_table(
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
    let asked = state.asked.get(&digest.data_centre);
    let is_asked = asked.is_some_and(|asked| digest.version <= asked.version && now < asked.retry);
    if digest.version <= known || is_asked {
        return;
    }
    let asked = AskedTable {
        version: digest.version,
        retry: now + TimeSpan::from_secs(1),
    };
    state.asked.insert(digest.data_centre.clone(), asked);
    effects.push(RosterEffect::Send {
        to: from.clone(),
        message: RosterMessage::TableRequest {
            data_centre: digest.data_centre.clone(),
        },
    });
}
