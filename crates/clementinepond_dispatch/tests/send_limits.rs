//! Limits that endpoints state: what a VM knows of them, and the permits of their owners.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

mod support;

use clementinepond_dispatch::fleet::Stated;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::{PeerHeartbeat, PeerTable};
use clementinepond_dispatch::send_limit::{LimitTable, PermitLedger, PermitVerdict, SendRate};
use clementinepond_types::{LocalTime, VmId};
use support::at;

/// Window in which permits are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn endpoint() -> NameHash {
    NameHash::of("endpoint-1")
}

fn rate(text: &str) -> SendRate {
    text.parse().unwrap()
}

fn limited(text: &str) -> Stated<SendRate> {
    Stated::Value(rate(text))
}

fn vm(number: usize) -> VmId {
    format!("vm-{number}").parse().unwrap()
}

fn heartbeat(is_stopping: bool) -> Box<PeerHeartbeat> {
    Box::new(PeerHeartbeat {
        incarnation: 1,
        number: 1,
        data_centre: "dc-a".parse().unwrap(),
        configuration: 3,
        directory: 7,
        link_mbps: 100,
        has_store: true,
        is_cut: false,
        is_stopping,
        store_age_ms: 0,
        lease_fence: None,
        expired_order_age_ms: None,
        accounts: Vec::new(),
        loads: Vec::new(),
        demand: Vec::new(),
        ejected: Vec::new(),
    })
}

/// Returns the largest number of grants in a window.
fn most_in_window(granted_ms: &[u64]) -> usize {
    let within = |start: &u64| {
        let is_within = |time: &&u64| (*start..start + WINDOW_MS).contains(*time);
        granted_ms.iter().filter(is_within).count()
    };
    granted_ms.iter().map(within).max().unwrap_or(0)
}

/// Plays VMs that each ask the owner as often as they may; returns the times of the grants
/// and of all queries.
fn play_fleet(vms: usize, stated: &str, share: f64, seconds: u64) -> (Vec<u64>, Vec<u64>) {
    let mut ledger = PermitLedger::default();
    let mut held_until = vec![LocalTime::ORIGIN; vms];
    let (mut granted, mut asked) = (Vec::new(), Vec::new());
    for millis in 0..seconds * 1_000 {
        for held in &mut held_until {
            if at(millis) < *held {
                continue;
            }
            asked.push(millis);
            match ledger.take(endpoint(), rate(stated), share, at(millis)) {
                PermitVerdict::Granted => granted.push(millis),
                PermitVerdict::Denied { retry_after } => *held = at(millis) + retry_after,
            }
        }
    }
    (granted, asked)
}

#[test]
fn fleets_of_any_size_keep_to_the_rate_and_use_it() {
    for vms in [1, 3, 8, 390] {
        for stated in ["0.2", "0.5", "1.8", "20"] {
            let (granted, _) = play_fleet(vms, stated, 1.0, 60);
            let per_s = rate(stated).per_second();
            let most = most_in_window(&granted) as f64;
            assert!(
                most <= 4.0 * per_s + 2.0 + per_s / 2.0,
                "{vms} VMs at {stated}: {most} in a window"
            );
            let used = granted.len() as f64 / (60.0 * per_s);
            assert!(used > 0.7, "{vms} VMs at {stated}: share of {used} used");
        }
    }
}

#[test]
fn queries_of_a_large_fleet_are_bounded() {
    let (_, asked) = play_fleet(390, "1", 1.0, 60);
    let later = asked.iter().filter(|time| **time >= 20_000).count();
    let per_s = later as f64 / 40.0;
    assert!(per_s < 100.0, "{per_s} queries a second");
}

#[test]
fn owners_on_both_sides_of_a_partition_keep_to_the_rate_together() {
    let (one, _) = play_fleet(2, "2", 1.0 / 3.0, 60);
    let (other, _) = play_fleet(4, "2", 2.0 / 3.0, 60);
    let per_s = (one.len() + other.len()) as f64 / 60.0;
    assert!(per_s <= 2.1, "{per_s} a second");
}

#[test]
fn owner_that_takes_over_issues_no_permit_at_once() {
    let mut ledger = PermitLedger::default();
    let verdict = ledger.take(endpoint(), rate("1"), 1.0, at(0));
    assert!(matches!(verdict, PermitVerdict::Denied { .. }));
}

#[test]
fn limit_of_zero_leaves_room_to_notice_its_end() {
    let (granted, _) = play_fleet(3, "0", 1.0, 60);
    assert!((3..=8).contains(&granted.len()), "{}", granted.len());
}

#[test]
fn all_vms_agree_on_the_owner_and_a_stopping_one_owns_nothing() {
    let owners = |stopping: Option<usize>| -> Vec<usize> {
        let names = 0..5;
        names
            .map(|me| {
                let mut table = PeerTable::default();
                for other in (0..5).filter(|other| *other != me) {
                    let address = "10.0.0.1:7600".parse().unwrap();
                    let beat = heartbeat(stopping == Some(other));
                    table.record_heartbeat(&vm(other), address, beat, at(0));
                }
                let is_stopping = stopping == Some(me);
                let owner = table.permit_owner(endpoint(), &vm(me), is_stopping, at(10));
                let is_owner = |number: &usize| owner == Some(&vm(*number));
                (0..5).find(is_owner).unwrap_or(me)
            })
            .collect()
    };
    let before = owners(None);
    assert!(before.iter().all(|owner| *owner == before[0]));
    let after = owners(Some(before[0]));
    assert!(after.iter().all(|owner| *owner == after[0]));
    assert_ne!(after[0], before[0]);
}

#[test]
fn limit_ends_only_with_an_answer_to_a_later_call() {
    let mut table = LimitTable::default();
    assert!(table.record_answer(endpoint(), limited("1.8"), at(90), at(100)));
    let unlimited = Stated::Absent;
    table.record_answer(endpoint(), unlimited, at(95), at(120));
    assert_eq!(table.rate(endpoint()), Some(rate("1.8")));
    table.record_answer(endpoint(), unlimited, at(130), at(140));
    assert_eq!(table.rate(endpoint()), None);
}

#[test]
fn older_report_does_not_bring_back_a_limit() {
    let mut table = LimitTable::default();
    table.record_answer(endpoint(), limited("1"), at(0), at(10));
    table.record_answer(endpoint(), Stated::Absent, at(20), at(30));
    table.sweep(at(40));
    assert!(!table.record_report(endpoint(), Some(rate("1")), at(15)));
    assert_eq!(table.rate(endpoint()), None);
    assert!(table.record_report(endpoint(), Some(rate("1")), at(50)));
}

#[test]
fn endpoint_without_permit_is_held_until_its_limit_ends() {
    let mut table = LimitTable::default();
    table.record_answer(endpoint(), limited("1"), at(0), at(10));
    table.hold(endpoint(), at(900));
    assert_eq!(table.held_until(endpoint(), at(100)), Some(at(900)));
    assert_eq!(table.held_until(endpoint(), at(900)), None);
    table.hold(endpoint(), at(2_000));
    table.record_report(endpoint(), None, at(1_000));
    assert_eq!(table.held_until(endpoint(), at(1_100)), None);
}

#[test]
fn changing_limit_is_announced_at_intervals() {
    let mut table = LimitTable::default();
    let announced = (0..20).filter(|step| {
        let stated = limited(&format!("1.{step:02}"));
        table.record_answer(endpoint(), stated, at(step * 100), at(step * 100 + 1))
    });
    assert_eq!(announced.count(), 4);
    assert_eq!(table.rate(endpoint()), Some(rate("1.19")));
}

#[test]
fn unreadable_statement_changes_nothing() {
    let mut table = LimitTable::default();
    let unreadable = Stated::Unreadable;
    assert!(!table.record_answer(endpoint(), unreadable, at(0), at(1)));
    assert_eq!(table.rate(endpoint()), None);
    table.record_answer(endpoint(), limited("1"), at(2), at(3));
    table.record_answer(endpoint(), unreadable, at(4), at(5));
    assert_eq!(table.rate(endpoint()), Some(rate("1")));
}

#[test]
fn rates_are_decimal_numbers() {
    for (text, expected) in [("1.8", 1.8), (" 0.5", 0.5), ("12", 12.0), ("0", 0.0)] {
        assert!((rate(text).per_second() - expected).abs() < 1e-9, "{text}");
    }
    for text in ["", "-1", "NaN", "inf", "two"] {
        assert!(text.parse::<SendRate>().is_err(), "{text}");
    }
}
