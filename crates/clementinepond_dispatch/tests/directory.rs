//! Endpoint directory: updates, draining, expiry and outdated changes.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

mod support;

use clementinepond_dispatch::directory::{EndpointChange, EndpointDirectory, RevisionGuard};
use clementinepond_dispatch::fleet::{EndpointPhase, ServiceId};
use clementinepond_types::TimeSpan;
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
