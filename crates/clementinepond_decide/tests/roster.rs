//! Membership: small schedules, each with the guard that it needs.

#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "helpers of tests fail the test"
)]

use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_decide::roster::{
    ContactRule, IncarnationId, ListedVm, MembershipStage, OwnIdentity, RosterEffect, RosterEvent,
    RosterMember, RosterMessage, RosterMutation, RosterSettings, RosterState, RosterTable,
    UpdateNonce, VmPresence, first_member, ranked_members, reduce,
};
use clementinepond_types::{Epoch, LocalTime, ObjectVersion, PartCount, TimeSpan, VmId};
use std::collections::BTreeMap;

const QUARTER: TimeSpan = TimeSpan::from_millis(250);

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn state(name: &str, settings: RosterSettings) -> RosterState {
    let own = OwnIdentity {
        vm: vm(name),
        data_centre: "dc-1".parse().unwrap(),
        address: name.into(),
        incarnation: IncarnationId::new(1),
    };
    RosterState::new(own, settings, LocalTime::ORIGIN)
}

fn mutated(mutation: RosterMutation) -> RosterSettings {
    RosterSettings {
        mutation,
        ..RosterSettings::default()
    }
}

/// Table of members with their incarnation and parts.
fn table(version: u64, members: &[(&str, u64, u32)]) -> VersionedObject<RosterTable> {
    let members: BTreeMap<_, _> = members
        .iter()
        .map(|&(name, incarnation, parts)| {
            let member = RosterMember {
                address: name.into(),
                incarnation: IncarnationId::new(incarnation),
                parts: PartCount::new(parts),
            };
            (vm(name), member)
        })
        .collect();
    let value = RosterTable {
        data_centre: "dc-1".parse().unwrap(),
        epoch: Epoch::new(version),
        share: PartCount::new(1_024),
        share_version: ObjectVersion::default(),
        share_releasing: false,
        members,
        holder: vm("writer"),
        nonce: UpdateNonce::default(),
    };
    VersionedObject {
        version: ObjectVersion::new(version),
        value,
    }
}

fn learn(state: &mut RosterState, object: VersionedObject<RosterTable>, now: LocalTime) {
    let message = RosterMessage::Table(object);
    let from = vm("other");
    reduce(state, RosterEvent::Received { from, message }, now);
}

fn usable(state: &RosterState) -> u32 {
    state.announced().map_or(0, |parts| parts.parts.get())
}

fn stored(effects: &[RosterEffect]) -> Option<(ObjectVersion, RosterTable)> {
    effects.iter().find_map(|effect| match effect {
        RosterEffect::StoreTable {
            if_version, table, ..
        } => Some((*if_version, table.clone())),
        _ => None,
    })
}

fn reads(effects: &[RosterEffect]) -> bool {
    let is_read = |effect: &RosterEffect| matches!(effect, RosterEffect::ReadTable { .. });
    effects.iter().any(is_read)
}

/// Ticks until an update of the table goes out.
fn tick_until_store(state: &mut RosterState, now: &mut LocalTime) -> (ObjectVersion, RosterTable) {
    for _ in 0..400 {
        *now = *now + QUARTER;
        if let Some(update) = stored(&reduce(state, RosterEvent::Tick, *now)) {
            return update;
        }
        let change = state.announced().map_or(0, |parts| parts.change);
        reduce(state, RosterEvent::PartsStopped { change }, *now);
    }
    panic!("no update went out");
}

fn answer(
    state: &mut RosterState,
    nonce: UpdateNonce,
    reply: StoreReply<RosterTable>,
    now: LocalTime,
) -> Vec<RosterEffect> {
    reduce(state, RosterEvent::TableStored { nonce, reply }, now)
}

#[test]
fn the_first_member_takes_all_parts() {
    let mut state = state("vm-1", RosterSettings::default());
    let mut now = LocalTime::ORIGIN;
    assert!(reads(&reduce(&mut state, RosterEvent::Tick, now)));
    reduce(&mut state, RosterEvent::TableRead(ReadReply::Missing), now);
    let (if_version, table) = tick_until_store(&mut state, &mut now);
    assert_eq!(if_version, ObjectVersion::default());
    assert_eq!(table.held().get(), 1_024);
    assert_eq!(usable(&state), 0, "parts are not used before the answer");
    let version = ObjectVersion::new(1);
    answer(&mut state, table.nonce, StoreReply::Stored { version }, now);
    assert_eq!(usable(&state), 1_024);
    assert_eq!(state.stage(), MembershipStage::Member);
}

#[test]
fn a_lost_creation_is_recognised_on_reading() {
    for (mutation, parts) in [
        (RosterMutation::None, 0),
        (RosterMutation::UseOnUnknown, 1_024),
    ] {
        let mut state = state("vm-1", mutated(mutation));
        let mut now = LocalTime::ORIGIN;
        reduce(&mut state, RosterEvent::Tick, now);
        reduce(&mut state, RosterEvent::TableRead(ReadReply::Missing), now);
        let (_, table) = tick_until_store(&mut state, &mut now);
        answer(&mut state, table.nonce, StoreReply::Unknown, now);
        assert_eq!(usable(&state), parts, "{mutation:?}");
        assert!(reads(&reduce(&mut state, RosterEvent::Tick, now)));
        let found = VersionedObject {
            version: ObjectVersion::new(5),
            value: table,
        };
        reduce(
            &mut state,
            RosterEvent::TableRead(ReadReply::Found(found)),
            now,
        );
        assert_eq!(usable(&state), 1_024);
    }
}

#[test]
fn a_peer_brings_the_table_while_the_platform_is_away() {
    let settings = RosterSettings {
        seeds: vec!["10.0.0.9:7000".into()],
        ..RosterSettings::default()
    };
    let mut state = state("vm-9", settings);
    let effects = reduce(&mut state, RosterEvent::Tick, LocalTime::ORIGIN);
    let is_seed = |effect: &RosterEffect| matches!(effect, RosterEffect::SendAddress { .. });
    assert!(effects.iter().any(is_seed));
    let held = table(3, &[("vm-1", 7, 1_024)]);
    learn(&mut state, held, LocalTime::ORIGIN);
    assert_eq!(state.own_table().unwrap().version.get(), 3);
    assert_eq!(usable(&state), 0, "a VM that is no member holds no parts");
}

/// Lets the largest member release half and loses the answer.
fn release_with_lost_answer(mutation: RosterMutation) -> RosterState {
    let mut state = state("vm-1", mutated(mutation));
    let mut now = LocalTime::ORIGIN;
    let old = table(3, &[("vm-1", 1, 1_024), ("vm-2", 1, 0)]);
    learn(&mut state, old.clone(), now);
    let (if_version, next) = tick_until_store(&mut state, &mut now);
    assert_eq!(if_version.get(), 3);
    assert_eq!(next.members.get(&vm("vm-1")).unwrap().parts.get(), 512);
    answer(&mut state, next.nonce, StoreReply::Unknown, now);
    // The read overtakes the update, which may still take effect.
    reduce(
        &mut state,
        RosterEvent::TableRead(ReadReply::Found(old)),
        now,
    );
    state
}

#[test]
fn released_parts_stay_unused_while_the_release_is_unknown() {
    assert_eq!(usable(&release_with_lost_answer(RosterMutation::None)), 512);
    let state = release_with_lost_answer(RosterMutation::ResumeOnUnknown);
    assert_eq!(usable(&state), 1_024, "the guard is needed");
}

#[test]
fn a_release_that_lost_the_race_gives_the_parts_back() {
    let mut state = release_with_lost_answer(RosterMutation::None);
    let now = LocalTime::ORIGIN + TimeSpan::from_secs(5);
    let other = table(4, &[("vm-1", 1, 1_024), ("vm-3", 1, 0)]);
    learn(&mut state, other, now);
    assert_eq!(usable(&state), 1_024);
}

#[test]
fn an_older_table_never_replaces_a_newer_one() {
    let newer = table(9, &[("vm-1", 1, 400), ("vm-2", 1, 624)]);
    let older = table(8, &[("vm-1", 1, 1_024)]);
    for (mutation, parts) in [
        (RosterMutation::None, 400),
        (RosterMutation::AcceptOlder, 1_024),
    ] {
        let mut state = state("vm-1", mutated(mutation));
        learn(&mut state, newer.clone(), LocalTime::ORIGIN);
        learn(&mut state, older.clone(), LocalTime::ORIGIN);
        assert_eq!(usable(&state), parts, "{mutation:?}");
    }
}

#[test]
fn parts_of_an_earlier_process_are_not_used() {
    let mut state = state("vm-1", RosterSettings::default());
    let mut now = LocalTime::ORIGIN;
    learn(&mut state, table(3, &[("vm-1", 77, 1_024)]), now);
    assert_eq!(usable(&state), 0);
    let (_, next) = tick_until_store(&mut state, &mut now);
    assert!(now >= LocalTime::ORIGIN + RosterSettings::default().rejoin_hold_off());
    let member = next.members.get(&vm("vm-1")).unwrap();
    assert_eq!((member.incarnation.get(), member.parts.get()), (1, 1_024));
}

#[test]
fn a_pause_ends_the_use_of_parts_until_the_vm_wrote_the_table() {
    let settings = RosterSettings::default();
    let mut state = state("vm-1", settings.clone());
    let members = [("vm-1", 1, 512), ("vm-2", 1, 512)];
    learn(&mut state, table(3, &members), LocalTime::ORIGIN);
    assert_eq!(usable(&state), 512);
    let deadline = state.announced().unwrap().deadline;
    assert_eq!(deadline, LocalTime::ORIGIN + settings.validity);
    let now = LocalTime::ORIGIN + TimeSpan::from_secs(100);
    let effects = reduce(&mut state, RosterEvent::Tick, now);
    assert_eq!(usable(&state), 0);
    let (_, table) = stored(&effects).unwrap();
    let version = ObjectVersion::new(4);
    answer(&mut state, table.nonce, StoreReply::Stored { version }, now);
    assert_eq!(usable(&state), 512);
}

#[test]
fn without_contact_the_stricter_rule_ends_the_use_of_parts() {
    for (contact_rule, parts) in [(ContactRule::AfterPause, 512), (ContactRule::AnyPeer, 0)] {
        let settings = RosterSettings {
            contact_rule,
            ..RosterSettings::default()
        };
        let mut state = state("vm-1", settings);
        let mut now = LocalTime::ORIGIN;
        learn(
            &mut state,
            table(3, &[("vm-1", 1, 512), ("vm-2", 1, 512)]),
            now,
        );
        for _ in 0..80 {
            now = now + QUARTER;
            reduce(&mut state, RosterEvent::Tick, now);
        }
        assert_eq!(usable(&state), parts, "{contact_rule:?}");
    }
}

/// Another VM may have joined and removed one that is separated.
#[test]
fn under_the_stricter_rule_a_vm_alone_in_its_table_needs_contact() {
    for (mutation, parts) in [
        (RosterMutation::None, 0),
        (RosterMutation::TrustWhenAlone, 1_024),
    ] {
        let settings = RosterSettings {
            contact_rule: ContactRule::AnyPeer,
            ..mutated(mutation)
        };
        let mut state = state("vm-1", settings);
        let mut now = LocalTime::ORIGIN;
        learn(&mut state, table(3, &[("vm-1", 1, 1_024)]), now);
        for _ in 0..80 {
            now = now + QUARTER;
            let effects = reduce(&mut state, RosterEvent::Tick, now);
            if let Some((_, table)) = stored(&effects) {
                answer(&mut state, table.nonce, StoreReply::Unknown, now);
            }
        }
        assert_eq!(usable(&state), parts, "{mutation:?}");
    }
}

#[test]
fn a_shutdown_gives_all_parts_away_after_they_stopped() {
    let mut state = state("vm-1", RosterSettings::default());
    let mut now = LocalTime::ORIGIN;
    learn(
        &mut state,
        table(3, &[("vm-1", 1, 500), ("vm-2", 1, 524)]),
        now,
    );
    reduce(&mut state, RosterEvent::ShutdownStarted, now);
    assert_eq!(usable(&state), 0);
    now = now + QUARTER;
    let effects = reduce(&mut state, RosterEvent::Tick, now);
    assert_eq!(stored(&effects), None, "grants are still out");
    let (_, next) = tick_until_store(&mut state, &mut now);
    assert!(!next.members.contains_key(&vm("vm-1")));
    assert_eq!(next.held().get(), 1_024);
    let version = ObjectVersion::new(4);
    let effects = answer(&mut state, next.nonce, StoreReply::Stored { version }, now);
    assert!(effects.contains(&RosterEffect::Released));
}

#[test]
fn a_member_that_goes_moves_only_its_own_keys() {
    let names: Vec<String> = (0..20).map(|number| format!("vm-{number}")).collect();
    let members: Vec<_> = names.iter().map(|name| (name.as_str(), 1, 0)).collect();
    let before = table(1, &members).value;
    let mut after = before.clone();
    after.members.remove(&vm("vm-7"));
    for key in 0..200 {
        let key = format!("account-{key}");
        let first = first_member(&before, &key);
        assert_eq!(first, ranked_members(&before, &key).first().copied());
        if first != Some(&vm("vm-7")) {
            assert_eq!(first, first_member(&after, &key));
        }
    }
}

/// Lists another member in a state; returns the parts that a relay gives it.
fn parts_given_to(listed: VmPresence) -> u32 {
    let mut state = state("vm-1", RosterSettings::default());
    let mut now = LocalTime::ORIGIN;
    learn(&mut state, table(3, &[("vm-1", 1, 1_024)]), now);
    reduce(&mut state, RosterEvent::Tick, now);
    let list = [("vm-1", VmPresence::Live), ("vm-2", listed)];
    let list = list.map(|(name, state)| ListedVm {
        vm: vm(name),
        state,
    });
    reduce(&mut state, RosterEvent::VmsListed(Some(list.into())), now);
    learn(&mut state, table(4, &[("vm-1", 1, 0), ("vm-2", 1, 0)]), now);
    let (_, next) = tick_until_store(&mut state, &mut now);
    next.members.get(&vm("vm-2")).unwrap().parts.get()
}

#[test]
fn a_vm_that_leaves_is_given_no_parts() {
    assert_eq!(parts_given_to(VmPresence::Live), 512);
    assert_eq!(parts_given_to(VmPresence::Leaving), 0);
}
