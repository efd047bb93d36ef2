//! Endpoints as lists and watches tell of them.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

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
fn a_draining_endpoint_never_becomes_ready_again_in_the_same_life() {
    let mut directory = EndpointDirectory::default();
    directory.update(entry("e1", &[]), at(0));
    let mut leaving = entry("e1", &[]);
    leaving.phase = EndpointPhase::Draining;
    assert_eq!(directory.update(leaving, at(10)), EndpointChange::Draining);
    // An older list from a peer still calls it ready.
    directory.update(entry("e1", &[]), at(20));
    assert_eq!(usable(&directory, 30), 0);
    let mut reborn = entry("e1", &[]);
    reborn.started_ms += 1;
    assert_eq!(directory.update(reborn, at(40)), EndpointChange::Joined);
    assert_eq!(usable(&directory, 50), 1);
}

#[test]
fn a_lapsed_entry_stays_in_use_until_its_grace_ends() {
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
fn an_endpoint_that_left_without_notice_gets_no_work_after_the_drain_time() {
    let mut directory = EndpointDirectory::default();
    directory.update(entry("e1", &[]), at(0));
    directory.remove(&"e1".parse().unwrap(), at(1_000));
    assert_eq!(usable(&directory, 3_000), 0);
}

#[test]
fn an_endpoint_with_notice_gets_no_new_work() {
    let mut directory = EndpointDirectory::default();
    let mut leaving = entry("e1", &[]);
    leaving.time_left = Some(TimeSpan::from_secs(2));
    directory.update(leaving, at(0));
    assert_eq!(usable(&directory, 1), 0);
}

#[test]
fn an_entry_of_an_earlier_life_changes_nothing() {
    let mut directory = EndpointDirectory::default();
    let mut reborn = entry("e1", &["m1"]);
    reborn.started_ms = 2_000;
    directory.update(reborn, at(0));
    assert_eq!(
        directory.update(entry("e1", &["m0"]), at(10)),
        EndpointChange::Same
    );
    let known = directory.get(&"e1".parse().unwrap()).unwrap();
    assert!(known.entry.hosted(&support::model("m1")).is_some());
}

#[test]
fn an_older_change_that_comes_after_a_deletion_brings_nothing_back() {
    let mut guard = RevisionGuard::default();
    assert!(guard.accept("e1", 1_158));
    // The deletion.
    assert!(guard.accept("e1", 1_165));
    assert!(!guard.accept("e1", 1_158));
    assert!(!guard.accept("e1", 1_165));
    assert!(guard.is_outdated("e1", 1_158));
    // A new life under the same name.
    assert!(!guard.is_outdated("e1", 1_170));
    assert!(guard.accept("e1", 1_170));
}
