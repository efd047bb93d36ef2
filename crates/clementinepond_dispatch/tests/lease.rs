//! Placement lease: acquisition, renewal, expiry and hand-over, event by event.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

mod support;

use clementinepond_dispatch::lease::{
    LEASE_DURATION, LeaseEffect, LeaseEvent, LeaseRecord, PlacementLease, StoredLease,
};
use clementinepond_types::{LocalTime, TimeSpan, VmId};
use support::at;

/// Minimum gap between the orders of two holders.
const ORDER_GAP: TimeSpan = TimeSpan::from_secs(3);

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn lease(name: &str, incarnation: u64) -> PlacementLease {
    PlacementLease::new(vm(name), incarnation, ORDER_GAP, TimeSpan::ZERO, at(0))
}

fn held_by(name: &str, incarnation: u64, revision: u64) -> StoredLease {
    StoredLease {
        revision,
        record: Some(LeaseRecord {
            holder: Some(vm(name)),
            previous: None,
            incarnation,
            update: 1,
        }),
        may_lack_holder: false,
    }
}

fn tick(lease: &mut PlacementLease, now: LocalTime) -> Vec<LeaseEffect> {
    lease.reduce(
        LeaseEvent::Tick {
            holder_live: false,
            takeover_delay: TimeSpan::ZERO,
            can_order: true,
        },
        now,
    )
}

/// Ticks a lease from `from` on until it writes the object, and confirms the write;
/// returns the time of the write, both in milliseconds.
fn acquire(lease: &mut PlacementLease, stored: StoredLease, from: u64) -> u64 {
    assert_eq!(tick(lease, at(from)), [LeaseEffect::Read]);
    lease.reduce(LeaseEvent::Read(stored), at(from + 4));
    for millis in (from + 100..from + 10_000).step_by(100) {
        let effects = tick(lease, at(millis));
        if let Some(LeaseEffect::Write { expected, .. }) = effects.first() {
            let revision = expected + 10;
            lease.reduce(LeaseEvent::Written { revision }, at(millis + 4));
            return millis;
        }
    }
    unreachable!("no write within 10 s of the first read")
}

/// Returns a lease that was acquired from an object without a holder, with the time of
/// acquisition in milliseconds.
fn held_lease() -> (PlacementLease, u64) {
    let mut lease = lease("vm-1", 1);
    let empty = StoredLease {
        revision: 0,
        record: None,
        may_lack_holder: false,
    };
    let taken = acquire(&mut lease, empty, 0);
    (lease, taken)
}

#[test]
fn first_holder_may_order_at_once() {
    let (lease, taken) = held_lease();
    assert_eq!(lease.fence(at(taken + 10)), Some(10));
}

#[test]
fn successor_waits_for_lease_duration_and_order_gap() {
    let mut lease = lease("vm-2", 2);
    let taken = acquire(&mut lease, held_by("vm-1", 1, 50), 0);
    assert!(
        taken >= LEASE_DURATION.millis(),
        "lease taken after {taken} ms"
    );
    assert_eq!(lease.fence(at(taken + 10)), None);
    let mut fence = None;
    let mut millis = taken;
    while fence.is_none() && millis < 20_000 {
        millis += 100;
        for effect in tick(&mut lease, at(millis)) {
            if let LeaseEffect::Write { expected, record } = effect {
                if millis < taken + 3_000 {
                    // A restart within the gap must still find the previous holder in
                    // the object.
                    assert_eq!(record.previous, Some(vm("vm-1")));
                }
                lease.reduce(
                    LeaseEvent::Written {
                        revision: expected + 1,
                    },
                    at(millis + 4),
                );
            }
        }
        fence = lease.fence(at(millis + 5));
    }
    assert!(
        millis >= taken + 3_000,
        "first order {} ms after taking over",
        millis - taken
    );
    assert_eq!(fence, Some(60));
}

#[test]
fn restarted_holder_may_order_without_order_gap() {
    let mut lease = lease("vm-1", 9);
    let taken = acquire(&mut lease, held_by("vm-1", 1, 50), 0);
    assert!(taken < 1_000);
    assert_eq!(lease.fence(at(taken + 10)), Some(60));
}

#[test]
fn unrenewed_lease_expires_without_tick() {
    let (lease, taken) = held_lease();
    let end = taken + LEASE_DURATION.millis();
    assert!(lease.fence(at(end - 400)).is_some());
    // The VM was suspended until after the end of its lease.
    assert_eq!(lease.fence(at(end)), None);
    assert_eq!(lease.held_fence(at(end + 100)), None);
}

#[test]
fn renewal_counts_from_sending() {
    let (mut lease, taken) = held_lease();
    let sent = taken + 600;
    let effects = tick(&mut lease, at(sent));
    assert!(matches!(effects.first(), Some(LeaseEffect::Write { .. })));
    lease.reduce(LeaseEvent::Written { revision: 11 }, at(sent + 800));
    let end = sent + LEASE_DURATION.millis();
    assert!(lease.fence(at(end - 400)).is_some());
    assert_eq!(lease.fence(at(end - 200)), None);
}

#[test]
fn lost_reply_is_read_back_before_next_update() {
    let (mut lease, taken) = held_lease();
    tick(&mut lease, at(taken + 600));
    lease.reduce(LeaseEvent::Unknown, at(taken + 900));
    let effects = tick(&mut lease, at(taken + 1_200));
    assert_eq!(effects, [LeaseEffect::Read]);
}

#[test]
fn holder_stops_when_another_holds_the_lease() {
    let (mut lease, taken) = held_lease();
    tick(&mut lease, at(taken + 600));
    let effects = lease.reduce(
        LeaseEvent::Conflict(held_by("vm-2", 2, 99)),
        at(taken + 610),
    );
    assert_eq!(effects, [LeaseEffect::Lost]);
    assert_eq!(lease.fence(at(taken + 611)), None);
}

#[test]
fn released_lease_names_previous_holder() {
    let (mut lease, taken) = held_lease();
    let effects = lease.reduce(LeaseEvent::Release, at(taken + 100));
    let Some(LeaseEffect::Write { record, .. }) = effects.first() else {
        unreachable!("a release must write the object");
    };
    assert_eq!(record.holder, None);
    assert_eq!(record.previous, Some(vm("vm-1")));
    assert_eq!(lease.fence(at(taken + 101)), None);
}

#[test]
fn lease_reported_expired_is_taken_at_once_with_order_gap() {
    let mut lease = lease("vm-2", 2);
    tick(&mut lease, at(0));
    lease.reduce(LeaseEvent::Read(held_by("vm-1", 1, 50)), at(4));
    assert_eq!(tick(&mut lease, at(300)), []);
    let expired = LeaseEvent::Expired {
        vm: vm("vm-1"),
        last_order: at(0),
    };
    lease.reduce(expired, at(350));
    let effects = tick(&mut lease, at(500));
    assert!(matches!(
        effects.first(),
        Some(LeaseEffect::Write { expected: 50, .. })
    ));
    lease.reduce(LeaseEvent::Written { revision: 60 }, at(504));
    let mut first = None;
    for millis in (600..8_000).step_by(100) {
        for effect in tick(&mut lease, at(millis)) {
            if let LeaseEffect::Write { expected, .. } = effect {
                let revision = expected + 1;
                lease.reduce(LeaseEvent::Written { revision }, at(millis + 4));
            }
        }
        if first.is_none() && lease.fence(at(millis + 5)).is_some() {
            first = Some(millis);
        }
    }
    let first = first.unwrap();
    assert!(
        (3_000..=3_600).contains(&first),
        "first order at {first} ms"
    );
}

#[test]
fn expiry_reported_before_read_is_ignored() {
    let mut lease = lease("vm-2", 2);
    let expired = LeaseEvent::Expired {
        vm: vm("vm-1"),
        last_order: at(0),
    };
    lease.reduce(expired, at(0));
    tick(&mut lease, at(10));
    lease.reduce(LeaseEvent::Read(held_by("vm-1", 1, 50)), at(14));
    // The holder may have renewed the lease after it reported the expiry.
    assert_eq!(tick(&mut lease, at(300)), []);
}

#[test]
fn holder_after_the_store_may_have_lost_the_lease_waits_before_it_orders() {
    let mut lease = lease("vm-1", 1);
    let lost = StoredLease {
        revision: 0,
        record: None,
        may_lack_holder: true,
    };
    let taken = acquire(&mut lease, lost, 0);
    assert_eq!(lease.held_fence(at(taken + 10)), Some(10));
    let mut now = taken;
    while now < taken + ORDER_GAP.millis() {
        assert_eq!(lease.fence(at(now)), None, "{now} ms, taken at {taken} ms");
        // The lease is renewed meanwhile.
        now += 100;
        if !tick(&mut lease, at(now)).is_empty() {
            lease.reduce(LeaseEvent::Written { revision: 10 }, at(now));
        }
    }
    assert_eq!(lease.fence(at(now + 700)), Some(10));
}
