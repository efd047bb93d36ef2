//! Room of brittle endpoints.

mod support;

use clementinepond_dispatch::fleet::Stated;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::rejection::{EndpointRoom, RejectionTable};
use support::at;

fn endpoint() -> NameHash {
    NameHash::of("endpoint-1")
}

fn room(own_runs: u32, total_runs: u32, unannounced_vms: u32) -> EndpointRoom {
    EndpointRoom {
        slots: 6,
        own_runs,
        total_runs,
        unannounced_vms,
    }
}

fn brittle(most: u32) -> RejectionTable {
    let mut table = RejectionTable::default();
    assert!(table.record_answer(endpoint(), Stated::Value(most), at(0), at(10)));
    table
}

#[test]
fn sound_endpoint_has_room_whatever_it_runs() {
    let mut table = RejectionTable::default();
    table.record_rejection(endpoint(), at(0));
    assert!(table.has_room(endpoint(), room(50, 80, 8), at(1)));
}

#[test]
fn brittle_endpoint_gets_requests_for_its_free_slots_only() {
    let table = brittle(4);
    assert!(table.has_room(endpoint(), room(0, 5, 1), at(20)));
    assert!(!table.has_room(endpoint(), room(0, 6, 1), at(20)));
}

#[test]
fn vms_that_announce_no_requests_take_a_part_of_the_slots_each() {
    let table = brittle(4);
    assert!(table.has_room(endpoint(), room(1, 1, 3), at(20)));
    assert!(!table.has_room(endpoint(), room(2, 2, 3), at(20)));
    assert!(table.has_room(endpoint(), room(0, 0, 390), at(20)));
    assert!(!table.has_room(endpoint(), room(1, 1, 390), at(20)));
}

#[test]
fn rejections_at_any_vm_keep_requests_away_for_a_second() {
    let mut table = brittle(4);
    assert_eq!(table.record_rejection(endpoint(), at(100)), Some(4));
    assert!(table.has_room(endpoint(), room(0, 0, 1), at(110)));
    table.record_peer_rejection(endpoint(), 4, at(200));
    assert!(!table.has_room(endpoint(), room(0, 0, 1), at(210)));
    assert!(table.has_room(endpoint(), room(0, 0, 1), at(1_150)));
}

#[test]
fn endpoint_is_known_to_be_brittle_from_a_peer() {
    let mut table = RejectionTable::default();
    table.record_peer_rejection(endpoint(), 2, at(0));
    assert!(!table.has_room(endpoint(), room(0, 0, 1), at(10)));
}

#[test]
fn endpoint_is_sound_again_after_an_answer_to_a_later_request() {
    let mut table = brittle(4);
    assert!(!table.record_answer(endpoint(), Stated::Absent, at(5), at(20)));
    assert!(!table.has_room(endpoint(), room(0, 9, 1), at(30)));
    assert!(!table.record_answer(endpoint(), Stated::Unreadable, at(30), at(40)));
    assert!(table.record_answer(endpoint(), Stated::Absent, at(30), at(50)));
    assert!(table.has_room(endpoint(), room(0, 9, 1), at(60)));
}
