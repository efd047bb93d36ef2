//! Links to endpoints that fail, and the peers through which requests go meanwhile.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

mod support;

use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::{PeerHeartbeat, PeerTable};
use clementinepond_dispatch::reach::{PathChange, PathTable};
use clementinepond_types::VmId;
use support::at;

fn endpoint(number: usize) -> NameHash {
    NameHash::of(&format!("endpoint-{number}"))
}

fn vm(number: usize) -> VmId {
    format!("vm-{number}").parse().unwrap()
}

/// Returns a table of peers, each with its data centre, whether it is cut off and whether it
/// is stopping.
fn peers(of: &[(&str, bool, bool)]) -> PeerTable {
    let mut table = PeerTable::default();
    for (number, (data_centre, is_cut, is_stopping)) in of.iter().enumerate() {
        let heartbeat = Box::new(PeerHeartbeat {
            incarnation: 1,
            number: 1,
            data_centre: data_centre.parse().unwrap(),
            configuration: 3,
            directory: 7,
            link_mbps: 100,
            has_store: true,
            is_cut: *is_cut,
            is_stopping: *is_stopping,
            store_age_ms: 0,
            lease_fence: None,
            expired_order_age_ms: None,
            accounts: Vec::new(),
            loads: Vec::new(),
            demand: Vec::new(),
            ejected: Vec::new(),
        });
        let address = "10.0.0.1:7600".parse().unwrap();
        table.record_heartbeat(&vm(number), address, heartbeat, at(0));
    }
    table
}

fn forwarder(table: &PeerTable, excluded: &[VmId]) -> Option<VmId> {
    let data_centre = "dc-a".parse().unwrap();
    let chosen = table.forwarder(&data_centre, excluded, || 0.5, at(10));
    chosen.map(|(vm, _)| vm)
}

#[test]
fn one_failed_link_concerns_one_endpoint() {
    let mut table = PathTable::default();
    assert_eq!(
        table.record_failed_link(endpoint(1), at(0)),
        PathChange::Same
    );
    assert!(table.is_forwarded(endpoint(1)));
    assert!(!table.is_forwarded(endpoint(2)));
    assert_eq!(table.record_connected(endpoint(1)), PathChange::Same);
    assert!(!table.is_forwarded(endpoint(1)));
}

#[test]
fn two_failed_links_cut_the_vm_off_until_one_works_again() {
    let mut table = PathTable::default();
    table.record_failed_link(endpoint(1), at(0));
    assert_eq!(
        table.record_failed_link(endpoint(2), at(1)),
        PathChange::Cut
    );
    assert!(table.is_cut() && table.is_forwarded(endpoint(3)));
    assert_eq!(table.record_connected(endpoint(2)), PathChange::Restored);
    assert!(!table.is_cut() && !table.is_forwarded(endpoint(1)));
}

#[test]
fn endpoint_that_no_peer_reaches_is_no_failed_link() {
    let mut table = PathTable::default();
    table.record_failed_link(endpoint(1), at(0));
    table.record_down(endpoint(1), at(10));
    assert!(!table.is_forwarded(endpoint(1)));
    assert!(!table.may_forward(endpoint(1), at(500)));
    assert!(table.may_forward(endpoint(1), at(2_010)));
}

#[test]
fn failed_links_are_probed_in_turn() {
    let mut table = PathTable::default();
    table.record_failed_link(endpoint(1), at(0));
    table.record_failed_link(endpoint(2), at(1));
    assert_eq!(table.due_probe(at(600)), Some(endpoint(1)));
    assert_eq!(table.due_probe(at(900)), None);
    assert_eq!(table.due_probe(at(1_100)), Some(endpoint(2)));
    assert_eq!(table.due_probe(at(1_600)), Some(endpoint(1)));
}

#[test]
fn vm_is_not_cut_off_for_good_when_its_probed_endpoints_leave() {
    let mut table = PathTable::default();
    table.record_failed_link(endpoint(1), at(0));
    table.record_failed_link(endpoint(2), at(1));
    table.remove(endpoint(1));
    assert!(table.is_cut());
    table.remove(endpoint(2));
    assert!(!table.is_cut());
}

#[test]
fn peers_that_are_cut_off_or_stopping_forward_nothing() {
    let table = peers(&[("dc-a", true, false), ("dc-a", false, true)]);
    assert_eq!(forwarder(&table, &[]), None);
}

#[test]
fn peer_of_the_data_centre_comes_first_and_one_of_another_after_it_failed() {
    let table = peers(&[
        ("dc-b", false, false),
        ("dc-a", false, false),
        ("dc-a", false, false),
    ]);
    let first = forwarder(&table, &[]).unwrap();
    assert_ne!(first, vm(0));
    assert_eq!(forwarder(&table, &[first]), Some(vm(0)));
}

#[test]
fn reach_of_a_peer_changes_between_heartbeats() {
    let mut table = peers(&[("dc-a", false, false)]);
    table.record_reach(&vm(0), 1, true, at(5));
    assert_eq!(forwarder(&table, &[]), None);
    table.record_reach(&vm(0), 2, false, at(6));
    assert_eq!(forwarder(&table, &[]), None, "another process of the peer");
    table.record_reach(&vm(0), 1, false, at(7));
    assert_eq!(forwarder(&table, &[]), Some(vm(0)));
}

#[test]
fn cut_vm_keeps_links_to_probe_when_endpoints_are_reported_down() {
    let mut table = PathTable::default();
    table.record_failed_link(endpoint(1), at(0));
    table.record_failed_link(endpoint(2), at(1));
    table.record_down(endpoint(1), at(2));
    table.record_down(endpoint(2), at(3));
    assert!(table.is_cut());
    assert!(table.due_probe(at(600)).is_some());
}
