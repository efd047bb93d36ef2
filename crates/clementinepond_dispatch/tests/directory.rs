//! Endpoint directory: updates, draining, expiry and outdated changes.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

mod support;

use clementinepond_dispatch::directory::{EndpointChange, EndpointDirectory, RevisionGuard};
use clementinepond_dispatch::fleet::{EndpointPhase, ServiceId};
use clementinepond_types::{LocalTime, TimeSpan};
use support::{at, entry};

fn usable(directory: &EndpointDirectory, millis: u64) -> usize {
    directory
        .usable(&ServiceId::new("engines"), at(millis))
        .count()
}

#[test]
fn draining_endpoint_stays_draining_for_its_incarnation() {
    let mut directory = EndpointDirectory::default();
    directory.update(entry("e1", &[]), at(0));
    let mut leaving = entry("e1", &[]);
    leaving.phase = EndpointPhase::Draining;
    assert_eq!(directory.update(leaving, at(10)), EndpointChange::Draining);
    // A peer's outdated list still reports the endpoint as ready.
    directory.update(entry("e1", &[]), at(20));
    assert_eq!(usable(&directory, 30), 0);
    let mut restarted = entry("e1", &[]);
    restarted.started_ms += 1;
    assert_eq!(directory.update(restarted, at(40)), EndpointChange::Joined);
    assert_eq!(usable(&directory, 50), 1);
}

#[test]
fn draining_entry_of_an_earlier_incarnation_does_not_bring_a_later_one_back() {
    let id = "e1".parse().unwrap();
    for is_swept in [false, true] {
        let mut directory = EndpointDirectory::default();
        let mut earlier = entry("e1", &[]);
        earlier.phase = EndpointPhase::Draining;
        let mut later = entry("e1", &[]);
        later.started_ms += 1;
        directory.update(later.clone(), at(0));
        let mut leaving = later.clone();
        leaving.phase = EndpointPhase::Draining;
        directory.update(leaving, at(10));
        if is_swept {
            directory.remove(&id, at(20));
            directory.sweep(at(5_000));
        }
        // Outdated entries arrive late, from a peer or a stale list.
        directory.update(earlier, at(5_010));
        directory.update(later, at(5_020));
        assert_eq!(usable(&directory, 5_030), 0, "swept: {is_swept}");
    }
}

#[test]
fn removal_notice_ends_with_its_incarnation() {
    let mut directory = EndpointDirectory::default();
    let mut leaving = entry("e1", &[]);
    leaving.time_left = Some(TimeSpan::from_secs(2));
    directory.update(leaving, at(0));
    assert_eq!(usable(&directory, 10), 0);
    let mut restarted = entry("e1", &[]);
    restarted.started_ms += 1;
    directory.update(restarted, at(3_000));
    assert_eq!(usable(&directory, 3_010), 1);
}

#[test]
fn expired_entry_after_outage_is_usable_until_grace_ends() {
    let mut directory = EndpointDirectory::default();
    directory.update(entry("e1", &[]), at(0));
    directory.record_store_return(at(5_000));
    directory.remove(&"e1".parse().unwrap(), at(5_100));
    assert_eq!(usable(&directory, 7_000), 1);
    assert_eq!(usable(&directory, 7_400), 0);
    directory.sweep(at(7_400));
    assert!(directory.is_empty());
}

#[test]
fn unlisted_endpoint_is_unusable_after_two_seconds() {
    let mut directory = EndpointDirectory::default();
    directory.update(entry("e1", &[]), at(0));
    directory.remove(&"e1".parse().unwrap(), at(1_000));
    assert_eq!(usable(&directory, 3_000), 0);
}

#[test]
fn endpoint_removed_seconds_after_outage_is_unusable_after_two_seconds() {
    for removed_at in [6_500, 7_000, 7_900] {
        let mut directory = EndpointDirectory::default();
        directory.update(entry("e1", &[]), at(0));
        directory.record_store_return(at(5_000));
        directory.remove(&"e1".parse().unwrap(), at(removed_at));
        assert_eq!(usable(&directory, removed_at + 2_000), 0);
    }
}

#[test]
fn endpoint_with_removal_notice_is_unusable() {
    let mut directory = EndpointDirectory::default();
    let mut leaving = entry("e1", &[]);
    leaving.time_left = Some(TimeSpan::from_secs(2));
    directory.update(leaving, at(0));
    assert_eq!(usable(&directory, 1), 0);
}

#[test]
fn entry_of_earlier_incarnation_is_ignored() {
    let mut directory = EndpointDirectory::default();
    let mut restarted = entry("e1", &["m1"]);
    restarted.started_ms = 2_000;
    directory.update(restarted, at(0));
    assert_eq!(
        directory.update(entry("e1", &["m0"]), at(10)),
        EndpointChange::Same
    );
    let known = directory.get(&"e1".parse().unwrap()).unwrap();
    assert!(known.entry.hosted(&support::model("m1")).is_some());
}

#[test]
fn change_older_than_deletion_is_rejected() {
    let mut guard = RevisionGuard::default();
    assert!(guard.accept("e1", 1_158));
    // Deletion of the entry.
    assert!(guard.accept("e1", 1_165));
    assert!(!guard.accept("e1", 1_158));
    assert!(!guard.accept("e1", 1_165));
    assert!(guard.is_outdated("e1", 1_158));
    // A new incarnation with the same name.
    assert!(!guard.is_outdated("e1", 1_170));
    assert!(guard.accept("e1", 1_170));
}

/// Updates a directory with an endpoint of a software version.
fn add_software(directory: &mut EndpointDirectory, name: &str, software: &str, now: LocalTime) {
    let mut added = entry(name, &[]);
    added.software = software.parse().unwrap();
    directory.update(added, now);
}

/// Reports every second that the directory is up to date.
fn stay_up_to_date(directory: &mut EndpointDirectory, seconds: std::ops::RangeInclusive<u64>) {
    for second in seconds {
        directory.record_up_to_date(at(second * 1_000));
    }
}

/// Returns the sole version over the last 10 s.
fn sole_software(directory: &EndpointDirectory, now: LocalTime) -> Option<String> {
    let age = TimeSpan::from_secs(10);
    let sole = directory.sole_software(&ServiceId::new("engines"), age, now);
    sole.map(|version| version.to_string())
}

#[test]
fn sole_software_needs_a_directory_that_was_complete_all_the_while() {
    let mut directory = EndpointDirectory::default();
    add_software(&mut directory, "i-1", "v1", at(0));
    stay_up_to_date(&mut directory, 1..=9);
    assert_eq!(sole_software(&directory, at(9_500)), None);
    stay_up_to_date(&mut directory, 10..=11);
    assert_eq!(sole_software(&directory, at(11_000)).as_deref(), Some("v1"));
    // No contact for 5 s, after which endpoints may have come and gone.
    assert_eq!(sole_software(&directory, at(16_000)), None);
    stay_up_to_date(&mut directory, 16..=25);
    assert_eq!(sole_software(&directory, at(25_000)), None);
}

#[test]
fn software_of_an_endpoint_that_left_counts_until_its_streams_have_ended() {
    let mut directory = EndpointDirectory::default();
    add_software(&mut directory, "i-1", "v1", at(0));
    add_software(&mut directory, "i-2", "v2", at(0));
    stay_up_to_date(&mut directory, 0..=12);
    assert_eq!(sole_software(&directory, at(12_000)), None);
    directory.remove(&"i-2".parse().unwrap(), at(12_000));
    directory.sweep(at(14_000));
    stay_up_to_date(&mut directory, 13..=23);
    assert_eq!(sole_software(&directory, at(23_000)), None);
    stay_up_to_date(&mut directory, 24..=25);
    assert_eq!(sole_software(&directory, at(25_000)).as_deref(), Some("v1"));
}

#[test]
fn restart_with_other_software_under_the_same_id_makes_two_versions() {
    let mut directory = EndpointDirectory::default();
    add_software(&mut directory, "i-1", "v1", at(0));
    stay_up_to_date(&mut directory, 0..=12);
    let mut restarted = entry("i-1", &[]);
    restarted.started_ms += 1;
    restarted.software = "v2".parse().unwrap();
    directory.update(restarted, at(12_000));
    assert_eq!(sole_software(&directory, at(12_000)), None);
}
