//! Tests of membership on one VM. Some cases run again with a safety check disabled,
//! to show that they detect its absence.

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

const TICK_INTERVAL: TimeSpan = TimeSpan::from_millis(250);

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

fn settings_with(mutation: RosterMutation) -> RosterSettings {
    RosterSettings {
        mutation,
        ..RosterSettings::default()
    }
}

/// Builds a table from the name, incarnation and parts of each member.
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

fn receive_table(state: &mut RosterState, object: VersionedObject<RosterTable>, now: LocalTime) {
    let message = RosterMessage::Table(object);
    let from = vm("other");
    reduce(state, RosterEvent::Received { from, message }, now);
}

fn usable_parts(state: &RosterState) -> u32 {
    state.announced().map_or(0, |parts| parts.parts.get())
}

fn stored_table(effects: &[RosterEffect]) -> Option<(ObjectVersion, RosterTable)> {
    effects.iter().find_map(|effect| match effect {
        RosterEffect::StoreTable {
            if_version, table, ..
        } => Some((*if_version, table.clone())),
        _ => None,
    })
}

fn has_table_read(effects: &[RosterEffect]) -> bool {
    let is_read = |effect: &RosterEffect| matches!(effect, RosterEffect::ReadTable { .. });
    effects.iter().any(is_read)
}

/// Ticks until an update of the table is sent; grants stop at once.
fn tick_until_store(state: &mut RosterState, now: &mut LocalTime) -> (ObjectVersion, RosterTable) {
    for _ in 0..400 {
        *now = *now + TICK_INTERVAL;
        if let Some(update) = stored_table(&reduce(state, RosterEvent::Tick, *now)) {
            return update;
        }
        let change = state.announced().map_or(0, |parts| parts.change);
        reduce(state, RosterEvent::PartsStopped { change }, *now);
    }
    panic!("no table update was sent within 400 ticks");
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
fn first_member_takes_all_parts() {
    let mut state = state("vm-1", RosterSettings::default());
    let mut now = LocalTime::ORIGIN;
    assert!(has_table_read(&reduce(&mut state, RosterEvent::Tick, now)));
    reduce(&mut state, RosterEvent::TableRead(ReadReply::Missing), now);
    let (if_version, table) = tick_until_store(&mut state, &mut now);
    assert_eq!(if_version, ObjectVersion::default());
    assert_eq!(table.held().get(), 1_024);
    assert_eq!(
        usable_parts(&state),
        0,
        "parts are not used before the answer"
    );
    let version = ObjectVersion::new(1);
    answer(&mut state, table.nonce, StoreReply::Stored { version }, now);
    assert_eq!(usable_parts(&state), 1_024);
    assert_eq!(state.stage(), MembershipStage::Member);
}

#[test]
fn table_with_unanswered_creation_is_unused_until_read() {
    for (mutation, parts) in [
        (RosterMutation::None, 0),
        (RosterMutation::UseOnUnknown, 1_024),
    ] {
        let mut state = state("vm-1", settings_with(mutation));
        let mut now = LocalTime::ORIGIN;
        reduce(&mut state, RosterEvent::Tick, now);
        reduce(&mut state, RosterEvent::TableRead(ReadReply::Missing), now);
        let (_, table) = tick_until_store(&mut state, &mut now);
        answer(&mut state, table.nonce, StoreReply::Unknown, now);
        assert_eq!(usable_parts(&state), parts, "{mutation:?}");
        assert!(has_table_read(&reduce(&mut state, RosterEvent::Tick, now)));
        let found = VersionedObject {
            version: ObjectVersion::new(5),
            value: table,
        };
        reduce(
            &mut state,
            RosterEvent::TableRead(ReadReply::Found(found)),
            now,
        );
        assert_eq!(usable_parts(&state), 1_024);
    }
}

#[test]
fn table_from_peer_is_adopted_while_platform_is_unreachable() {
    let settings = RosterSettings {
        seeds: vec!["10.0.0.9:7000".into()],
        ..RosterSettings::default()
    };
    let mut state = state("vm-9", settings);
    let effects = reduce(&mut state, RosterEvent::Tick, LocalTime::ORIGIN);
    let is_sent_to_seed =
        |effect: &RosterEffect| matches!(effect, RosterEffect::SendAddress { .. });
    assert!(effects.iter().any(is_sent_to_seed));
    let held = table(3, &[("vm-1", 7, 1_024)]);
    receive_table(&mut state, held, LocalTime::ORIGIN);
    assert_eq!(state.own_table().unwrap().version.get(), 3);
    assert_eq!(
        usable_parts(&state),
        0,
        "a VM that is not a member holds no parts"
    );
}

/// Returns a member that released half of its parts and got no answer to it.
fn release_with_lost_answer(mutation: RosterMutation) -> RosterState {
    let mut state = state("vm-1", settings_with(mutation));
    let mut now = LocalTime::ORIGIN;
    let old = table(3, &[("vm-1", 1, 1_024), ("vm-2", 1, 0)]);
    receive_table(&mut state, old.clone(), now);
    let (if_version, next) = tick_until_store(&mut state, &mut now);
    assert_eq!(if_version.get(), 3);
    assert_eq!(next.members.get(&vm("vm-1")).unwrap().parts.get(), 512);
    answer(&mut state, next.nonce, StoreReply::Unknown, now);
    // The read is answered before the update, which may still take effect.
    reduce(
        &mut state,
        RosterEvent::TableRead(ReadReply::Found(old)),
        now,
    );
    state
}

#[test]
fn released_parts_stay_unused_while_outcome_is_unknown() {
    assert_eq!(
        usable_parts(&release_with_lost_answer(RosterMutation::None)),
        512
    );
    let state = release_with_lost_answer(RosterMutation::ResumeOnUnknown);
    assert_eq!(
        usable_parts(&state),
        1_024,
        "without the check, released parts are used again"
    );
}

#[test]
fn parts_are_usable_again_after_release_conflict() {
    let mut state = release_with_lost_answer(RosterMutation::None);
    let now = LocalTime::ORIGIN + TimeSpan::from_secs(5);
    let other = table(4, &[("vm-1", 1, 1_024), ("vm-3", 1, 0)]);
    receive_table(&mut state, other, now);
    assert_eq!(usable_parts(&state), 1_024);
}

#[test]
fn older_table_is_ignored() {
    let newer = table(9, &[("vm-1", 1, 400), ("vm-2", 1, 624)]);
    let older = table(8, &[("vm-1", 1, 1_024)]);
    for (mutation, parts) in [
        (RosterMutation::None, 400),
        (RosterMutation::AcceptOlder, 1_024),
    ] {
        let mut state = state("vm-1", settings_with(mutation));
        receive_table(&mut state, newer.clone(), LocalTime::ORIGIN);
        receive_table(&mut state, older.clone(), LocalTime::ORIGIN);
        assert_eq!(usable_parts(&state), parts, "{mutation:?}");
    }
}

#[test]
fn parts_of_earlier_process_are_unused_until_rejoin() {
    let mut state = state("vm-1", RosterSettings::default());
    let mut now = LocalTime::ORIGIN;
    receive_table(&mut state, table(3, &[("vm-1", 77, 1_024)]), now);
    assert_eq!(usable_parts(&state), 0);
    let (_, next) = tick_until_store(&mut state, &mut now);
    assert!(now >= LocalTime::ORIGIN + RosterSettings::default().rejoin_hold_off());
    let member = next.members.get(&vm("vm-1")).unwrap();
    assert_eq!((member.incarnation.get(), member.parts.get()), (1, 1_024));
}

#[test]
fn paused_vm_uses_no_parts_until_it_writes_table() {
    let settings = RosterSettings::default();
    let mut state = state("vm-1", settings.clone());
    let members = [("vm-1", 1, 512), ("vm-2", 1, 512)];
    receive_table(&mut state, table(3, &members), LocalTime::ORIGIN);
    assert_eq!(usable_parts(&state), 512);
    let deadline = state.announced().unwrap().deadline;
    assert_eq!(deadline, LocalTime::ORIGIN + settings.validity);
    let now = LocalTime::ORIGIN + TimeSpan::from_secs(100);
    let effects = reduce(&mut state, RosterEvent::Tick, now);
    assert_eq!(usable_parts(&state), 0);
    let (_, table) = stored_table(&effects).unwrap();
    let version = ObjectVersion::new(4);
    answer(&mut state, table.nonce, StoreReply::Stored { version }, now);
    assert_eq!(usable_parts(&state), 512);
}

#[test]
fn any_peer_rule_stops_parts_without_contact() {
    for (contact_rule, parts) in [(ContactRule::AfterPause, 512), (ContactRule::AnyPeer, 0)] {
        let settings = RosterSettings {
            contact_rule,
            ..RosterSettings::default()
        };
        let mut state = state("vm-1", settings);
        let mut now = LocalTime::ORIGIN;
        receive_table(
            &mut state,
            table(3, &[("vm-1", 1, 512), ("vm-2", 1, 512)]),
            now,
        );
        for _ in 0..80 {
            now = now + TICK_INTERVAL;
            reduce(&mut state, RosterEvent::Tick, now);
        }
        assert_eq!(usable_parts(&state), parts, "{contact_rule:?}");
    }
}

/// While a VM has no contact, another one may have joined and removed it.
#[test]
fn any_peer_rule_requires_contact_from_sole_member() {
    for (mutation, parts) in [
        (RosterMutation::None, 0),
        (RosterMutation::TrustWhenAlone, 1_024),
    ] {
        let settings = RosterSettings {
            contact_rule: ContactRule::AnyPeer,
            ..settings_with(mutation)
        };
        let mut state = state("vm-1", settings);
        let mut now = LocalTime::ORIGIN;
        receive_table(&mut state, table(3, &[("vm-1", 1, 1_024)]), now);
        for _ in 0..80 {
            now = now + TICK_INTERVAL;
            let effects = reduce(&mut state, RosterEvent::Tick, now);
            if let Some((_, table)) = stored_table(&effects) {
                answer(&mut state, table.nonce, StoreReply::Unknown, now);
            }
        }
        assert_eq!(usable_parts(&state), parts, "{mutation:?}");
    }
}

#[test]
fn shutdown_releases_parts_after_grants_ended() {
    let mut state = state("vm-1", RosterSettings::default());
    let mut now = LocalTime::ORIGIN;
    receive_table(
        &mut state,
        table(3, &[("vm-1", 1, 500), ("vm-2", 1, 524)]),
        now,
    );
    reduce(&mut state, RosterEvent::ShutdownStarted, now);
    assert_eq!(usable_parts(&state), 0);
    now = now + TICK_INTERVAL;
    let effects = reduce(&mut state, RosterEvent::Tick, now);
    assert_eq!(stored_table(&effects), None, "grants are still outstanding");
    let (_, next) = tick_until_store(&mut state, &mut now);
    assert!(!next.members.contains_key(&vm("vm-1")));
    assert_eq!(next.held().get(), 1_024);
    let version = ObjectVersion::new(4);
    let effects = answer(&mut state, next.nonce, StoreReply::Stored { version }, now);
    assert!(effects.contains(&RosterEffect::Released));
}

#[test]
fn removed_member_moves_only_its_own_keys() {
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

/// Returns the parts that a relay assigns to a member listed in this state.
fn parts_assigned_to(listed: VmPresence) -> u32 {
    let mut state = state("vm-1", RosterSettings::default());
    let mut now = LocalTime::ORIGIN;
    receive_table(&mut state, table(3, &[("vm-1", 1, 1_024)]), now);
    reduce(&mut state, RosterEvent::Tick, now);
    let list = [("vm-1", VmPresence::Live), ("vm-2", listed)];
    let list = list.map(|(name, state)| ListedVm {
        vm: vm(name),
        state,
    });
    reduce(&mut state, RosterEvent::VmsListed(Some(list.into())), now);
    receive_table(&mut state, table(4, &[("vm-1", 1, 0), ("vm-2", 1, 0)]), now);
    let (_, next) = tick_until_store(&mut state, &mut now);
    next.members.get(&vm("vm-2")).unwrap().parts.get()
}

#[test]
fn leaving_vm_receives_no_parts() {
    assert_eq!(parts_assigned_to(VmPresence::Live), 512);
    assert_eq!(parts_assigned_to(VmPresence::Leaving), 0);
}
