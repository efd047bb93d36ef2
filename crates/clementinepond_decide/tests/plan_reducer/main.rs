//! Tests of the plan reducer with scripted replies: lease, ledger and orders.

#![expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "helpers of a test fail by panicking"
)]
mod harness;

use clementinepond_decide::plan::{
    HoldingKey, LeasePhase, ModelState, ModelVersion, OrderNumber, OrderReply, PlanEffect,
    PlanEvent, PlanMutation,
};
use clementinepond_decide::port::{ReadReply, StoreReply};
use clementinepond_types::{EndpointId, ModelId, TimeSpan};
use harness::{PlanHarness, SECOND, at, foreign_object, has_store, kind_of, loads, name};
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn order_is_sent_after_intent_is_stored() {
    let sent_before = |mutations: &[PlanMutation]| {
        let mut harness = PlanHarness::new(mutations, &["a"]);
        harness.hold();
        for _ in 0..100 {
            let effects = harness.tick(100);
            if loads(&effects) > 0 {
                return true;
            }
            if has_store(&effects) && !harness.written.as_ref().unwrap().orders.is_empty() {
                assert_eq!(loads(&harness.stored()), 1);
                return false;
            }
            if has_store(&effects) {
                harness.stored();
            }
        }
        panic!("no load order or intent within 10 s");
    };
    assert!(!sent_before(&[]));
    assert!(sent_before(&[PlanMutation::SendBeforeIntent]));
}

#[test]
fn reservation_outlives_reply_and_window() {
    let held_after = |mutations: &[PlanMutation]| {
        let mut harness = PlanHarness::new(mutations, &["a"]);
        harness.hold();
        let number = harness.next_order("load_model");
        let runner: EndpointId = name("runner-1");
        let is_held = |harness: &PlanHarness| {
            let ledger = &harness.state.endpoints()[&runner].ledger;
            ledger.iter().any(|(held, _)| held == number)
        };
        harness.send(PlanEvent::OrderReplied {
            endpoint: name("runner-1"),
            number,
            reply: OrderReply::NoMemory,
        });
        let after_reply = is_held(&harness);
        harness.tick(4_000);
        (after_reply, is_held(&harness))
    };
    assert_eq!(held_after(&[]), (true, true));
    assert!(!held_after(&[PlanMutation::ReleaseOnAck]).0);
    let without_barrier = held_after(&[PlanMutation::ReleaseWithoutBarrier]);
    assert_eq!(without_barrier, (true, false));
}

#[test]
fn report_of_barrier_ends_reservation() {
    let mut harness = PlanHarness::new(&[], &["a"]);
    harness.hold();
    let number = harness.next_order("load_model");
    harness.report(number, &[]);
    assert_eq!(
        harness.possible(),
        60,
        "memory must stay reserved while the order may still arrive"
    );
    harness.tick(4_000);
    harness.report(number, &[]);
    assert_eq!(
        harness.possible(),
        60,
        "memory must stay reserved, as the report may be from before the arrival"
    );
    let barrier = harness.next_order("set_role");
    harness.report(barrier, &[]);
    assert_eq!(harness.possible(), 0);
}

#[test]
fn completed_order_stays_reserved_after_restart() {
    let possible_after = |mutations: &[PlanMutation]| {
        let mut harness = PlanHarness::new(mutations, &["a"]);
        harness.hold();
        let number = harness.next_order("load_model");
        harness.report(number, &[("a", ModelState::Ready)]);
        harness.incarnation = 2;
        harness.report(OrderNumber::default(), &[]);
        harness.possible()
    };
    assert_eq!(possible_after(&[]), 60);
    assert_eq!(possible_after(&[PlanMutation::ForgetCopies]), 0);
}

#[test]
fn restarted_endpoint_is_confirmed_by_barrier() {
    let mut harness = PlanHarness::new(&[], &["a"]);
    harness.hold();
    harness.incarnation = 2;
    harness.report(OrderNumber::default(), &[]);
    let runner: EndpointId = name("runner-1");
    assert!(!harness.state.endpoints()[&runner].confirmed);
    harness.confirm(&[]);
    assert!(harness.state.endpoints()[&runner].confirmed);
}

#[test]
fn old_report_is_ignored() {
    let possible_after = |mutations: &[PlanMutation]| {
        let mut harness = PlanHarness::new(mutations, &["a"]);
        harness.hold();
        let number = harness.next_order("load_model");
        harness.report(number, &[("a", ModelState::Ready)]);
        harness.tick(4_000);
        harness.report(number, &[("a", ModelState::Ready)]);
        harness.report_number -= 2;
        harness.report(number, &[]);
        harness.possible()
    };
    assert_eq!(possible_after(&[]), 60);
    assert_eq!(possible_after(&[PlanMutation::AcceptOldReports]), 0);
}

/// Acquires the lease after another VM while the endpoint's reports lag behind its
/// last order; returns the harness and the time, in milliseconds, at which the
/// other VM's object was seen.
fn take_over(mutations: &[PlanMutation]) -> (PlanHarness, u64) {
    let mut harness = PlanHarness::new(mutations, &["a", "b"]);
    harness.version = 9;
    harness.report(OrderNumber::default(), &[]);
    harness.read(Some(foreign_object()));
    let first_seen_at = harness.now;
    harness.acquire();
    assert!(
        harness.now - first_seen_at >= 15_000,
        "the lease was acquired before the other VM's lease ended"
    );
    (harness, first_seen_at)
}

#[test]
fn takeover_waits_for_orders_of_previous_holder() {
    let first_order_after = |mutations: &[PlanMutation]| {
        let (mut harness, first_seen_at) = take_over(mutations);
        harness.next_order("set_role");
        harness.now - first_seen_at
    };
    // The previous holder's lease of 15 s and the arrival margin of 1 s.
    assert!(first_order_after(&[]) > 16_000);
    assert!(first_order_after(&[PlanMutation::NoWaitOnTakeover]) < 16_000);
}

#[test]
fn takeover_loads_nothing_without_barrier_report() {
    let loads_before_barrier = |mutations: &[PlanMutation]| {
        let (mut harness, _) = take_over(mutations);
        let mut found = 0;
        for _ in 0..60 {
            let mut effects = harness.tick(100);
            if has_store(&effects) {
                effects.extend(harness.stored());
            }
            harness.report(OrderNumber::default(), &[]);
            found += loads(&effects);
        }
        found
    };
    let no_barrier = PlanMutation::NoBarrierOnTakeover;
    let no_inheritance = PlanMutation::ForgetInheritedOrders;
    assert_eq!(loads_before_barrier(&[]), 0);
    assert_eq!(loads_before_barrier(&[no_inheritance]), 0);
    assert_eq!(loads_before_barrier(&[no_barrier]), 0);
    assert!(loads_before_barrier(&[no_barrier, no_inheritance]) > 0);
}

#[test]
fn lease_counts_from_send_of_write() {
    let holds_after_late_reply = |mutations: &[PlanMutation]| {
        let mut harness = PlanHarness::new(mutations, &["a"]);
        harness.hold();
        while !has_store(&harness.tick(100)) {}
        harness.now += 16_000;
        harness.stored();
        harness.state.holds(at(harness.now))
    };
    assert!(!holds_after_late_reply(&[]));
    assert!(holds_after_late_reply(&[PlanMutation::LeaseFromReply]));
}

#[test]
fn order_deadline_is_within_lease() {
    let deadlines = |mutations: &[PlanMutation]| {
        let mut harness = PlanHarness::new(mutations, &["a"]);
        harness.hold();
        let term = harness.state.phase().term().unwrap().clone();
        // Writes get no reply from now on, so the lease is not renewed.
        let mut found = Vec::new();
        for _ in 0..200 {
            for effect in harness.tick(100) {
                if let PlanEffect::Order { deadline, .. } = effect {
                    found.push(deadline);
                }
            }
            harness.incarnation += 1;
            harness.report(OrderNumber::default(), &[]);
        }
        (term.deadline, found)
    };
    let (end, found) = deadlines(&[]);
    assert!(!found.is_empty());
    assert!(found.iter().all(|deadline| *deadline <= end));
    let (end, found) = deadlines(&[PlanMutation::OrdersWithoutDeadline]);
    assert!(found.iter().any(|deadline| *deadline > end));
}

#[test]
fn lost_write_reply_is_resolved_by_read() {
    let mut harness = PlanHarness::new(&[], &["a"]);
    harness.report(OrderNumber::default(), &[]);
    harness.tick(0);
    harness.read(None);
    while !matches!(harness.state.phase(), LeasePhase::Acquiring(_)) {
        harness.tick(100);
    }
    let sent_at = harness.now;
    let object = harness.written.clone().unwrap();
    harness.now += 1_000;
    let effects = harness.send(PlanEvent::StoreReplied {
        write: object.write_id(),
        reply: StoreReply::Unknown,
    });
    assert!(matches!(effects[..], [PlanEffect::Read { .. }]));
    harness.version = 1;
    harness.read(Some(object));
    let term = harness.state.phase().term().unwrap();
    assert!(term.deadline <= at(sent_at) + TimeSpan::from_micros(15 * SECOND));
}

#[test]
fn released_lease_sends_no_orders() {
    let mut harness = PlanHarness::new(&[], &["a"]);
    harness.hold();
    let effects = harness.send(PlanEvent::Release);
    assert!(has_store(&effects));
    assert_eq!(harness.written.as_ref().unwrap().holder, None);
    harness.incarnation = 2;
    harness.report(OrderNumber::default(), &[]);
    for _ in 0..50 {
        let effects = harness.tick(100);
        let is_order = |effect: &PlanEffect| matches!(effect, PlanEffect::Order { .. });
        assert!(!effects.iter().any(is_order));
    }
}

#[test]
fn unavailable_platform_ends_term_and_loads() {
    let mut harness = PlanHarness::new(&[], &["a"]);
    harness.hold();
    harness.tick(16_000);
    assert!(matches!(harness.state.phase(), LeasePhase::Follower(_)));
    for _ in 0..100 {
        let effects = harness.tick(100);
        harness.send(PlanEvent::ReadReplied {
            reply: ReadReply::Unavailable,
        });
        assert_eq!(loads(&effects), 0);
    }
}

#[test]
fn copy_is_withdrawn_and_drained_before_unload() {
    let mut harness = PlanHarness::new(&[], &["a"]);
    harness.hold();
    let number = harness.next_order("load_model");
    harness.report(number, &[("a", ModelState::Ready)]);
    harness.catalogue(&[]);
    let mut withdrawn: Option<BTreeMap<EndpointId, BTreeSet<HoldingKey>>> = None;
    let mut withdrawn_at = 0;
    loop {
        let mut effects = harness.tick(100);
        if has_store(&effects) {
            effects.extend(harness.stored());
        }
        harness.report(number, &[("a", ModelState::Ready)]);
        let is_unload = |effect: &PlanEffect| matches!(effect, PlanEffect::Order { action, .. } if kind_of(action) == "unload_model");
        if effects.iter().any(is_unload) {
            break;
        }
        for effect in effects {
            if let PlanEffect::Publish { status } = effect
                && !status.withdrawn.is_empty()
                && withdrawn.is_none()
            {
                withdrawn_at = harness.now;
                withdrawn = Some(status.withdrawn);
            }
        }
        assert!(harness.now < 120_000, "no unload order within 120 s");
    }
    let key = HoldingKey::Model(name::<ModelId>("a"), ModelVersion::from("v1"));
    let runner: EndpointId = name("runner-1");
    assert_eq!(withdrawn.unwrap()[&runner], BTreeSet::from([key]));
    assert!(
        harness.now - withdrawn_at >= 5_000,
        "the copy was unloaded before the drain time of 5 s"
    );
}
