//! Peer table: liveness, watchers and the usage of peers.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

mod support;

use clementinepond_dispatch::peer::{
    AccountUsage, FetchSchedule, LinkBudget, PeerHeartbeat, PeerTable, direct_copies,
    divide_recipients,
};
use clementinepond_types::VmId;
use std::net::SocketAddrV4;
use support::at;

fn vm(number: usize) -> VmId {
    format!("vm-{number}").parse().unwrap()
}

fn address() -> SocketAddrV4 {
    "10.0.0.1:7600".parse().unwrap()
}

fn heartbeat(number: u64, link_mbps: u32) -> Box<PeerHeartbeat> {
    Box::new(PeerHeartbeat {
        incarnation: 1,
        number,
        data_centre: "dc-a".parse().unwrap(),
        configuration: 3,
        directory: 7,
        link_mbps,
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
    })
}

/// Returns the peer tables of a fleet whose VMs have all received each other's
/// heartbeats.
fn fleet(links: &[u32]) -> Vec<PeerTable> {
    (0..links.len())
        .map(|me| {
            let mut table = PeerTable::default();
            for (other, &link) in links.iter().enumerate().filter(|(other, _)| *other != me) {
                table.record_heartbeat(&vm(other), address(), heartbeat(1, link), at(0));
            }
            table
        })
        .collect()
}

fn watchers(tables: &[PeerTable], links: &[u32]) -> Vec<usize> {
    let data_centre = "dc-a".parse().unwrap();
    (0..tables.len())
        .filter(|&me| tables[me].is_watcher(&vm(me), links[me], &data_centre, at(10)))
        .collect()
}

#[test]
fn every_vm_of_small_fleet_watches() {
    let links = [100; 6];
    assert_eq!(watchers(&fleet(&links), &links).len(), 6);
}

#[test]
fn two_vms_with_widest_links_watch_in_large_fleet() {
    let mut links = [10; 30];
    links[7] = 200;
    links[21] = 150;
    links[29] = 50;
    assert_eq!(watchers(&fleet(&links), &links), [7, 21]);
}

#[test]
fn watcher_without_store_is_replaced() {
    let links = [100; 30];
    let mut tables = fleet(&links);
    let failed = watchers(&tables, &links)[0];
    for (me, table) in tables.iter_mut().enumerate() {
        if me != failed {
            let mut without_store = heartbeat(2, 100);
            without_store.has_store = false;
            table.record_heartbeat(&vm(failed), address(), without_store, at(5));
        }
    }
    let current = watchers(&tables, &links);
    // The VM that lost the store still ranks itself as a watcher; two others watch.
    assert_eq!(current.iter().filter(|me| **me != failed).count(), 2);
}

#[test]
fn peer_out_of_contact_is_not_live_and_later_removed() {
    let mut table = fleet(&[100; 3]).remove(0);
    assert_eq!(table.peer_counts(at(100)), (2, 2));
    assert_eq!(table.peer_counts(at(3_000)), (0, 2));
    assert_eq!(table.sweep(at(30_000)).len(), 2);
    assert_eq!(table.peer_counts(at(30_000)), (0, 0));
}

#[test]
fn late_heartbeat_is_dropped_and_new_process_counts_from_zero() {
    let mut table = PeerTable::default();
    let heartbeat_with = |number: u64, incarnation: u64, admitted: u64| {
        let mut heartbeat = heartbeat(number, 100);
        heartbeat.incarnation = incarnation;
        heartbeat.accounts = vec![AccountUsage {
            account: "desk".parse().unwrap(),
            admitted,
            requested_per_s: 1,
            level: 5,
        }];
        heartbeat
    };
    let mut units = |heartbeat: Box<PeerHeartbeat>| {
        let usages = table.record_heartbeat(&vm(1), address(), heartbeat, at(0));
        usages.map(|usages| usages[0].units)
    };
    assert_eq!(units(heartbeat_with(1, 1, 100)), Some(100.0));
    assert_eq!(units(heartbeat_with(3, 1, 150)), Some(50.0));
    assert_eq!(units(heartbeat_with(2, 1, 120)), None);
    assert_eq!(units(heartbeat_with(1, 2, 30)), Some(30.0));
}

#[test]
fn announced_request_counts_only_new_units() {
    let mut table = PeerTable::default();
    let desk = "desk".parse().unwrap();
    let mut first = heartbeat(1, 100);
    first.incarnation = 7;
    first.accounts = vec![AccountUsage {
        account: "desk".parse().unwrap(),
        admitted: 100,
        requested_per_s: 1,
        level: -5,
    }];
    // Usage of a process that has sent no heartbeat yet arrives with its first one.
    assert_eq!(table.record_admitted(&vm(1), 7, &desk, 90), None);
    table.record_heartbeat(&vm(1), address(), first, at(0));
    assert_eq!(table.record_admitted(&vm(1), 7, &desk, 130), Some(30.0));
    assert_eq!(table.record_admitted(&vm(1), 7, &desk, 130), Some(0.0));
    // A refund, then a request of another process with the same VM ID.
    assert_eq!(table.record_admitted(&vm(1), 7, &desk, 110), Some(-20.0));
    assert_eq!(table.record_admitted(&vm(1), 8, &desk, 500), None);
}

#[test]
fn usage_is_fresh_while_most_peers_are_in_contact() {
    let mut table = PeerTable::default();
    assert!(table.is_usage_fresh(at(0)));
    for index in 1..=8 {
        table.record_address(&vm(index), address(), at(0));
    }
    // Peers that are known only by address are not in contact.
    assert!(!table.is_usage_fresh(at(0)));
    for index in 1..=8 {
        table.record_heartbeat(&vm(index), address(), heartbeat(1, 100), at(0));
    }
    assert!(table.is_usage_fresh(at(400)));
    for index in 1..=6 {
        table.record_contact(&vm(index), 1, at(900));
    }
    assert!(table.is_usage_fresh(at(1_000)));
    // Four of the eight peers are in contact, fewer than three quarters.
    for index in 1..=4 {
        table.record_contact(&vm(index), 1, at(1_900));
    }
    assert!(!table.is_usage_fresh(at(2_000)));
    // Contact with another process of the same VM does not count.
    for index in 5..=8 {
        table.record_contact(&vm(index), 99, at(2_000));
    }
    assert!(!table.is_usage_fresh(at(2_000)));
}

/// Returns how often each VM gets a message, and the most copies that one VM sends.
fn relay(vms: usize, link_mbps: u32) -> (Vec<u32>, usize) {
    let mut received = vec![0; vms];
    let mut most = 0;
    let mut pending = vec![(0..vms).collect::<Vec<usize>>()];
    while let Some(recipients) = pending.pop() {
        let groups = divide_recipients(recipients, direct_copies(link_mbps));
        most = most.max(groups.len());
        for (vm, relay_to) in groups {
            received[vm] += 1;
            pending.push(relay_to);
        }
    }
    (received, most)
}

#[test]
fn every_recipient_gets_one_copy_and_narrow_link_sends_few() {
    for vms in [0, 1, 2, 28, 130] {
        let (received, most) = relay(vms, 10);
        assert_eq!(received, vec![1; vms]);
        assert!(most <= 3, "a VM with a narrow link sends {most} copies");
        assert_eq!(relay(vms, 1_000), (vec![1; vms], vms));
    }
}

/// Returns how often each VM of a fleet is chosen as the source of a snapshot.
fn chosen_sources(links: &[u32], excluded: &[VmId]) -> Vec<usize> {
    let mut table = PeerTable::default();
    for (index, link) in links.iter().enumerate() {
        table.record_heartbeat(&vm(index), address(), heartbeat(1, *link), at(0));
    }
    let data_centre = "dc-a".parse().unwrap();
    let mut seed = 7_u64;
    let mut draw = || {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (((seed >> 33) + 1) as f64) / f64::from(1_u32 << 31)
    };
    let mut chosen = vec![0; links.len()];
    for _ in 0..1_000 {
        let source = table.snapshot_source(
            |heartbeat| (heartbeat.directory > 6).then_some(0),
            &data_centre,
            excluded,
            &mut draw,
            at(10),
        );
        if let Some((source, _)) = source {
            let index = (0..links.len()).find(|&index| vm(index) == source);
            chosen[index.unwrap()] += 1;
        }
    }
    chosen
}

#[test]
fn snapshot_sources_share_requests_by_bandwidth() {
    let mut links = [10; 28];
    links[3] = 200;
    links[4] = 200;
    let chosen = chosen_sources(&links, &[]);
    assert!(chosen[3] + chosen[4] > 500, "{chosen:?}");
    let most_narrow = (5..28).map(|index| chosen[index]).max().unwrap();
    assert!(most_narrow < 40, "{chosen:?}");
    let chosen = chosen_sources(&links, &[vm(3), vm(4)]);
    assert_eq!(chosen[3] + chosen[4], 0);
    assert_eq!(chosen.iter().sum::<usize>(), 1_000);
    assert_eq!(chosen_sources(&[10], &[vm(0)]), [0]);
}

#[test]
fn served_snapshots_leave_most_of_the_link() {
    let mut budget = LinkBudget::default();
    let mut served = 0;
    for millis in (0..10_000).step_by(5) {
        if budget.is_open(10, at(1_000 + millis)) {
            budget.charge(60_000);
            served += 60_000;
        }
    }
    // Ten seconds of a quarter of 10 Mbit/s, the initial credit and one answer beyond it.
    let limit = 3_125_000 + 156_250 + 60_000;
    assert!(served <= limit, "{served} bytes, expected at most {limit}");
    assert!(served > 2_800_000, "{served} bytes");
    // A VM that stands still does not save up credit.
    assert!(budget.is_open(10, at(60_000)));
    budget.charge(200_000);
    assert!(!budget.is_open(10, at(60_001)));
}

#[test]
fn fetch_starts_at_once_and_follows_quick_versions_together() {
    let mut schedule = FetchSchedule::default();
    assert!(schedule.delay(false, 999, at(10_000)).millis() < 150);
    assert!(schedule.start(false, at(10_100)));
    schedule.finish(false, true, at(10_150));
    // A version that follows right after waits for the interval, not longer.
    let delay = schedule.delay(false, 999, at(10_200)).millis();
    assert_eq!(delay, 600);
    // A watcher gives its own watch time, and never reads besides it.
    assert!(schedule.delay(true, 0, at(20_000)).millis() >= 200);
    assert!(!schedule.start(true, at(20_200)));
}

#[test]
fn store_that_fails_is_avoided_only_while_peers_serve() {
    let mut schedule = FetchSchedule::default();
    assert!(schedule.start(false, at(1_000)));
    schedule.record_store_failure(at(1_600));
    schedule.finish(true, true, at(1_700));
    assert!(!schedule.start(false, at(2_500)));
    schedule.finish(true, true, at(2_600));
    assert!(schedule.start(false, at(3_700)));
    schedule.record_store_failure(at(4_300));
    schedule.finish(false, false, at(4_400));
    assert!(schedule.start(false, at(5_100)));
}

#[test]
fn fetches_that_leave_a_vm_behind_become_rare() {
    let mut schedule = FetchSchedule::default();
    let mut now = 1_000;
    let mut fetches = 0;
    while now < 61_000 {
        now += schedule.delay(false, 500, at(now)).millis().max(1);
        schedule.start(false, at(now));
        schedule.finish(false, false, at(now));
        fetches += 1;
    }
    assert!(fetches < 60, "{fetches} fetches in a minute");
    schedule.record_current();
    assert!(schedule.delay(false, 999, at(now + 1_000)).millis() < 150);
}
