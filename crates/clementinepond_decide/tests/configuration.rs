//! Tests of the configuration and of withdrawn keys.
//!
//! Tests with a [`ConfigurationMutation`] also disable the guard that they cover and
//! check that the result is then wrong.

#![expect(
    clippy::unwrap_used,
    reason = "a failed unwrap in a helper fails the test"
)]

use clementinepond_decide::configuration::{
    ConfigurationEffect, ConfigurationEvent, ConfigurationMessage, ConfigurationMutation,
    ConfigurationSettings, ConfigurationState, ContentDelta, ContentDigest, ContentUpdate,
    CutOffPolicy, WithdrawalEntry, reduce,
};
use clementinepond_decide::port::{ReadReply, StoreReply, VersionedObject};
use clementinepond_decide::roster::WatchAnswer;
use clementinepond_types::{KeyDigest, LocalTime, ObjectVersion, TimeSpan, VmId};
use std::collections::BTreeSet;

const START: LocalTime = LocalTime::from_micros(5_000_000);

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn key(number: u8) -> KeyDigest {
    KeyDigest::new([number; 32])
}

fn settings(mutation: ConfigurationMutation) -> ConfigurationSettings {
    ConfigurationSettings {
        mutation,
        ..ConfigurationSettings::default()
    }
}

fn state(settings: ConfigurationSettings) -> ConfigurationState {
    ConfigurationState::new(vm("vm-1"), settings, LocalTime::ORIGIN)
}

fn default_state() -> ConfigurationState {
    state(settings(ConfigurationMutation::None))
}

fn complete_update(text: &str) -> ContentUpdate {
    ContentUpdate::Whole {
        text: text.into(),
        digest: ContentDigest::of(text),
    }
}

fn receive_at(
    state: &mut ConfigurationState,
    (version, update): (u64, ContentUpdate),
    subtree: &[VmId],
    now: LocalTime,
) -> Vec<ConfigurationEffect> {
    let message = ConfigurationMessage::Update {
        version: ObjectVersion::new(version),
        update,
        subtree: subtree.to_vec(),
    };
    let from = vm("vm-2");
    reduce(state, ConfigurationEvent::Received { from, message }, now)
}

fn receive(state: &mut ConfigurationState, version: u64, text: &str) -> Vec<ConfigurationEffect> {
    receive_at(state, (version, complete_update(text)), &[], START)
}

fn applied(effects: &[ConfigurationEffect]) -> Option<(u64, &str)> {
    effects.iter().find_map(|effect| match effect {
        ConfigurationEffect::Apply { version, text } => Some((version.get(), text.as_ref())),
        _ => None,
    })
}

fn requests_version(effects: &[ConfigurationEffect]) -> bool {
    effects.iter().any(|effect| {
        matches!(
            effect,
            ConfigurationEffect::Send {
                message: ConfigurationMessage::Request { .. },
                ..
            }
        )
    })
}

fn put_in_force(state: &mut ConfigurationState, version: u64) -> Vec<ConfigurationEffect> {
    let version = ObjectVersion::new(version);
    reduce(state, ConfigurationEvent::Applied { version }, START)
}

fn receive_withdrawal(state: &mut ConfigurationState, number: u8, recorded: Option<u64>) {
    let message = ConfigurationMessage::Withdrawals {
        entries: vec![WithdrawalEntry {
            key: key(number),
            recorded: recorded.map(ObjectVersion::new),
        }],
        subtree: Vec::new(),
    };
    let from = vm("vm-2");
    reduce(state, ConfigurationEvent::Received { from, message }, START);
}

fn withdraw(state: &mut ConfigurationState, number: u8) -> Vec<ConfigurationEffect> {
    let event = ConfigurationEvent::WithdrawalRequested {
        request: 1,
        keys: vec![key(number)],
    };
    reduce(state, event, START)
}

/// Answers each `CheckKeys` as if the configuration lacked all keys.
fn answer_key_checks(
    state: &mut ConfigurationState,
    version: u64,
    effects: &[ConfigurationEffect],
) {
    for effect in effects {
        if let ConfigurationEffect::CheckKeys { keys } = effect {
            let event = ConfigurationEvent::KeysChecked {
                version: ObjectVersion::new(version),
                checked: keys.clone(),
                present: Vec::new(),
            };
            reduce(state, event, START);
        }
    }
}

#[test]
fn older_version_does_not_replace_newer() {
    for (mutation, replaces) in [
        (ConfigurationMutation::None, false),
        (ConfigurationMutation::AcceptOlder, true),
    ] {
        let mut state = state(settings(mutation));
        assert_eq!(applied(&receive(&mut state, 9, "new")), Some((9, "new")));
        let effects = receive(&mut state, 8, "old");
        assert_eq!(applied(&effects).is_some(), replaces, "{mutation:?}");
    }
}

#[test]
fn text_with_wrong_digest_is_requested_again() {
    for (mutation, applies) in [
        (ConfigurationMutation::None, false),
        (ConfigurationMutation::SkipDigestCheck, true),
    ] {
        let mut state = state(settings(mutation));
        let update = ContentUpdate::Whole {
            text: "damaged".into(),
            digest: ContentDigest::of("intact"),
        };
        let effects = receive_at(&mut state, (3, update), &[], START);
        assert_eq!(applied(&effects).is_some(), applies, "{mutation:?}");
        assert_eq!(requests_version(&effects), !applies);
    }
}

#[test]
fn delta_applies_to_its_base_only() {
    let texts = [
        "",
        "ab",
        "añb",
        "añño",
        "{\"r\":10}",
        "{\"r\":1210}",
        "aaaa",
        "aa",
    ];
    for before in texts {
        for after in texts {
            let delta = ContentDelta::between(ObjectVersion::new(1), before, after).unwrap();
            assert_eq!(delta.apply(before).as_deref(), Some(after));
            assert_eq!(delta.apply("other"), None);
        }
    }
}

#[test]
fn update_reaches_every_vm_once() {
    let members: Vec<VmId> = (10..107)
        .map(|number| vm(&format!("vm-{number}")))
        .collect();
    let mut waiting = vec![(vm("vm-1"), members)];
    let mut reached = BTreeSet::new();
    while let Some((own, subtree)) = waiting.pop() {
        assert!(reached.insert(own), "each VM receives the update once");
        let mut state = default_state();
        let effects = receive_at(&mut state, (3, complete_update("text")), &subtree, START);
        let before = waiting.len();
        for effect in effects {
            if let ConfigurationEffect::Send {
                to,
                message: ConfigurationMessage::Update { subtree, .. },
            } = effect
            {
                waiting.push((to, subtree));
            }
        }
        assert!(waiting.len() <= before + 8);
    }
    assert_eq!(reached.len(), 98);
}

#[test]
fn starting_vm_waits_for_platform_version() {
    for (mutation, waits) in [
        (ConfigurationMutation::None, true),
        (ConfigurationMutation::ApplyFirstReceived, false),
    ] {
        let mut state = state(settings(mutation));
        let early = LocalTime::ORIGIN;
        let effects = receive_at(&mut state, (3, complete_update("old")), &[], early);
        assert_eq!(applied(&effects).is_none(), waits, "{mutation:?}");
        let found = VersionedObject {
            version: ObjectVersion::new(4),
            value: "new".into(),
        };
        let event = ConfigurationEvent::ContentRead(ReadReply::Found(found));
        let effects = reduce(&mut state, event, early);
        assert_eq!(applied(&effects), Some((4, "new")));
    }
}

#[test]
fn starting_vm_applies_peer_version_without_platform() {
    let mut state = default_state();
    let event = ConfigurationEvent::ContentRead(ReadReply::Unavailable);
    reduce(&mut state, event, LocalTime::ORIGIN);
    assert_eq!(applied(&receive(&mut state, 3, "text")), Some((3, "text")));
}

#[test]
fn refused_version_keeps_previous_in_force() {
    let mut state = default_state();
    receive(&mut state, 3, "text");
    put_in_force(&mut state, 3);
    receive(&mut state, 4, "nonsense");
    let version = ObjectVersion::new(4);
    reduce(&mut state, ConfigurationEvent::Refused { version }, START);
    let status = state.status(START);
    assert_eq!(status.in_force, Some(ObjectVersion::new(3)));
    assert_eq!(status.refused, Some(version));
}

#[test]
fn newer_version_in_digest_is_requested() {
    let mut peer = default_state();
    receive(&mut peer, 5, "text");
    let digest = peer.digest(START);
    for (mutation, repairs) in [
        (ConfigurationMutation::None, true),
        (ConfigurationMutation::SkipRepair, false),
    ] {
        let mut state = state(settings(mutation));
        let event = ConfigurationEvent::PeerDigest {
            from: vm("vm-2"),
            digest: digest.clone(),
        };
        let effects = reduce(&mut state, event, START);
        assert_eq!(requests_version(&effects), repairs, "{mutation:?}");
    }
}

#[test]
fn configuration_older_than_record_keeps_withdrawn_key() {
    for (mutation, is_kept) in [
        (ConfigurationMutation::None, true),
        (ConfigurationMutation::ForgetUnrecorded, false),
    ] {
        let mut state = state(settings(mutation));
        // Version 3 lacks the key because the key was created after it.
        receive(&mut state, 3, "text");
        put_in_force(&mut state, 3);
        let effects = withdraw(&mut state, 7);
        assert!(effects.contains(&ConfigurationEffect::KeyWithdrawn { key: key(7) }));
        answer_key_checks(&mut state, 3, &effects);
        assert_eq!(state.withdrawn().contains(&key(7)), is_kept, "{mutation:?}");
    }
}

#[test]
fn configuration_newer_than_record_removes_withdrawn_key() {
    let mut state = default_state();
    withdraw(&mut state, 7);
    receive_withdrawal(&mut state, 7, Some(10));
    for (version, is_kept) in [(9, true), (11, false)] {
        receive(&mut state, version, "text");
        let effects = put_in_force(&mut state, version);
        answer_key_checks(&mut state, version, &effects);
        assert_eq!(state.withdrawn().contains(&key(7)), is_kept);
    }
}

#[test]
fn record_is_read_after_unknown_store_outcome() {
    let mut state = default_state();
    reduce(
        &mut state,
        ConfigurationEvent::RelayChanged { active: true },
        START,
    );
    let listed = WatchAnswer::Changes {
        version: ObjectVersion::new(4),
        changes: Vec::new(),
    };
    reduce(&mut state, ConfigurationEvent::RecordWatched(listed), START);
    withdraw(&mut state, 7);
    let effects = reduce(&mut state, ConfigurationEvent::Tick, START);
    let record = effects.into_iter().find_map(|effect| match effect {
        ConfigurationEffect::StoreRecord { record, .. } => Some(record),
        _ => None,
    });
    let lost = ConfigurationEvent::RecordStored(StoreReply::Unknown);
    reduce(&mut state, lost, START);
    let effects = reduce(&mut state, ConfigurationEvent::Tick, START);
    assert!(effects.contains(&ConfigurationEffect::ReadRecord));
    let found = VersionedObject {
        version: ObjectVersion::new(6),
        value: record.unwrap(),
    };
    let read = ConfigurationEvent::RecordRead(ReadReply::Found(found));
    reduce(&mut state, read, START);
    assert_eq!(state.status(START).unrecorded, 0);
    assert_eq!(state.status(START).withdrawn, 1);
}

#[test]
fn withdrawn_keys_merge_in_any_order() {
    let entries = [
        (1, None),
        (2, Some(4)),
        (1, Some(9)),
        (3, Some(2)),
        (2, Some(3)),
    ];
    let mut first = None;
    for turn in 0..entries.len() {
        let mut state = default_state();
        for step in 0..entries.len() {
            let (number, recorded) = entries[(turn + step) % entries.len()];
            receive_withdrawal(&mut state, number, recorded);
        }
        let digest = state.withdrawn().digest();
        assert_eq!(*first.get_or_insert(digest), digest);
    }
}

#[test]
fn withdrawals_beyond_limit_are_refused() {
    let mut state = state(ConfigurationSettings {
        withdrawn_limit: 1,
        ..ConfigurationSettings::default()
    });
    withdraw(&mut state, 1);
    let effects = withdraw(&mut state, 2);
    let refused = ConfigurationEffect::WithdrawalRefused {
        request: 1,
        limit: 1,
    };
    assert!(effects.contains(&refused));
    assert!(!state.withdrawn().contains(&key(2)));
}

#[test]
fn key_acceptance_deadline_follows_cut_off_policy() {
    let limit = TimeSpan::from_secs(60);
    for (cut_off, deadline) in [
        (CutOffPolicy::KeepServing, LocalTime::NEVER),
        (CutOffPolicy::RefuseAfter(limit), START + limit),
    ] {
        let mut state = state(ConfigurationSettings {
            cut_off,
            ..ConfigurationSettings::default()
        });
        let effects = receive(&mut state, 3, "text");
        assert!(effects.contains(&ConfigurationEffect::AcceptKeys { deadline }));
    }
}

#[test]
fn peer_receives_withdrawn_keys_of_differing_group() {
    let mut complete = default_state();
    let mut lacking = default_state();
    for number in 1..=40 {
        receive_withdrawal(&mut complete, number, Some(3));
        if number != 9 {
            receive_withdrawal(&mut lacking, number, Some(3));
        }
    }
    let message = ConfigurationMessage::WithdrawalsRequest {
        groups: lacking.withdrawn().groups(),
    };
    let from = vm("vm-2");
    let event = ConfigurationEvent::Received { from, message };
    let sent = reduce(&mut complete, event, START)
        .into_iter()
        .find_map(|effect| match effect {
            ConfigurationEffect::Send {
                message: ConfigurationMessage::Withdrawals { entries, .. },
                ..
            } => Some(entries),
            _ => None,
        });
    let sent = sent.unwrap();
    assert!(sent.iter().any(|entry| entry.key == key(9)));
    assert!(sent.len() <= 3, "only the group that differs is sent");
}
