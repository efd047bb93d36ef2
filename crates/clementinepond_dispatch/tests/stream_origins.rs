//! Origins of streams: who holds them, who is asked, and how long they are kept.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

mod support;

use clementinepond_dispatch::fleet::ServiceId;
use clementinepond_dispatch::peer::{PeerHeartbeat, PeerTable};
use clementinepond_dispatch::stream::{OriginTable, StreamKey, StreamOrigin};
use clementinepond_types::{DataCentreId, VmId};
use std::collections::BTreeSet;
use support::at;

const DATA_CENTRES: usize = 4;

fn vm(number: usize) -> VmId {
    format!("vm-{number}").parse().unwrap()
}

fn data_centre(number: usize) -> DataCentreId {
    format!("dc-{}", number % DATA_CENTRES).parse().unwrap()
}

fn key(number: usize) -> StreamKey {
    StreamKey::new(None, &format!("attempt-{number}").parse().unwrap())
}

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceId::new("engines"),
        software: software.parse().unwrap(),
    }
}

/// Returns the peer table of one VM of a fleet.
fn table_of(me: usize, vms: usize) -> PeerTable {
    let mut table = PeerTable::default();
    for other in (0..vms).filter(|other| *other != me) {
        let heartbeat = PeerHeartbeat {
            incarnation: 1,
            number: 1,
            data_centre: data_centre(other),
            configuration: 3,
            directory: 7,
            link_mbps: 10,
            has_store: true,
            is_cut: false,
            is_stopping: false,
            store_age_ms: 0,
            lease_fence: None,
            expired_order_age_ms: None,
            accounts: Vec::new(),
            loads: Vec::new(),
            demand: Vec::new(),
            ejected: Vec::new(),
        };
        let address = "10.0.0.1:7600".parse().unwrap();
        table.record_heartbeat(&vm(other), address, Box::new(heartbeat), at(0));
    }
    table
}

fn holders(me: usize, table: &PeerTable, key: StreamKey) -> BTreeSet<VmId> {
    let holders = table.origin_holders(key, &vm(me), &data_centre(me));
    holders.into_iter().collect()
}

fn sources(me: usize, table: &PeerTable, key: StreamKey) -> BTreeSet<VmId> {
    let sources = table.origin_sources(key, &vm(me), &data_centre(me));
    sources.into_iter().chain([vm(me)]).collect()
}

#[test]
fn every_vm_asks_a_holder_that_is_not_the_vm_that_began_the_stream() {
    for vms in [2, 3, 6, 12, 13, 40, 390] {
        let tables: Vec<PeerTable> = (0..vms).map(|me| table_of(me, vms)).collect();
        for number in 0..200 {
            let (began, taken_up) = (number % vms, (number * 7 + 1) % vms);
            let held = holders(began, &tables[began], key(number));
            assert!(!held.contains(&vm(began)));
            let asked = sources(taken_up, &tables[taken_up], key(number));
            assert!(
                held.intersection(&asked).next().is_some(),
                "{vms} VMs, stream {number}: held by {held:?}, asked {asked:?}"
            );
        }
    }
}

#[test]
fn origin_survives_the_loss_of_its_data_centre() {
    let vms = 390;
    let tables: Vec<PeerTable> = (0..vms).map(|me| table_of(me, vms)).collect();
    for number in 0..200 {
        let (began, taken_up) = (number % DATA_CENTRES, number % DATA_CENTRES + 1);
        let lost = data_centre(began);
        let held = holders(began, &tables[began], key(number));
        let asked = sources(taken_up, &tables[taken_up], key(number));
        let is_found = held.intersection(&asked).any(|holder| {
            let number: usize = holder.as_str()[3..].parse().unwrap();
            data_centre(number) != lost
        });
        assert!(
            is_found,
            "stream {number}: held by {held:?}, asked {asked:?}"
        );
    }
}

#[test]
fn origin_is_sent_to_at_most_three_vms_of_a_large_fleet() {
    let table = table_of(0, 390);
    for number in 0..200 {
        assert!(holders(0, &table, key(number)).len() <= 3);
        assert!(sources(0, &table, key(number)).len() <= 2 * DATA_CENTRES + 1);
    }
}

#[test]
fn streams_of_different_accounts_have_different_origins() {
    let attempt = "attempt-1".parse().unwrap();
    let desk = "desk".parse().unwrap();
    assert_ne!(
        StreamKey::new(Some(&desk), &attempt),
        StreamKey::new(None, &attempt)
    );
}

#[test]
fn first_origin_of_a_stream_stays_and_is_kept_until_the_last_caller_has_given_up() {
    let mut table = OriginTable::default();
    assert!(table.record(key(1), origin("v1"), at(1_000)));
    assert!(table.record(key(1), origin("v2"), at(5_000)));
    assert!(table.record(key(1), origin("v2"), at(2_000)));
    let (known, _) = table.get(key(1), at(4_999)).unwrap();
    assert_eq!(*known, origin("v1"));
    assert!(table.get(key(1), at(5_000)).is_none());
    table.sweep(at(6_000));
    assert!(table.is_empty());
}

#[test]
fn search_ends_when_every_peer_that_was_asked_does_not_know_the_origin() {
    let mut table = OriginTable::default();
    table.ask(key(1), [vm(1), vm(2)].into_iter().collect(), at(0));
    table.record_unknown(key(1), &vm(1));
    assert!(table.is_awaited(key(1)));
    table.record_unknown(key(1), &vm(2));
    assert!(!table.is_awaited(key(1)));
}
