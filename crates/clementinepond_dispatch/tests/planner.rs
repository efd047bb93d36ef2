//! Placement planner: orders to endpoints, step by step.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test stops at the first error"
)]

mod support;

use clementinepond_dispatch::fleet::{EndpointEntry, EnginePolicy};
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::peer::ModelDemand;
use clementinepond_dispatch::placement::{
    EndpointOrder, EndpointStatus, OrderReply, PlacementPlanner, PlannerEffect, PlannerInput,
    SentOrder,
};
use clementinepond_types::{EndpointId, VmId};
use fnv::FnvHashMap;
use support::{at, engine_policy, entry, model};

/// Planner with its input: one service's engine policy, endpoints and demand.
struct PlannerFixture {
    planner: PlacementPlanner,
    policy: EnginePolicy,
    endpoints: Vec<EndpointEntry>,
    demand: FnvHashMap<NameHash, ModelDemand>,
}

impl PlannerFixture {
    fn new(policy: EnginePolicy, endpoints: Vec<EndpointEntry>) -> Self {
        Self {
            planner: PlacementPlanner::new(at(0)),
            policy,
            endpoints,
            demand: FnvHashMap::default(),
        }
    }

    fn set_demand(&mut self, name: &str, prefill_per_s: f32) {
        let demand = ModelDemand {
            prefill_per_s,
            output_per_s: 0.0,
        };
        self.demand.insert(NameHash::of(name), demand);
    }

    fn step(&mut self, millis: u64) -> Vec<PlannerEffect> {
        let input = PlannerInput {
            policy: &self.policy,
            endpoints: self.endpoints.iter().map(|entry| (entry, true)).collect(),
            demand: &self.demand,
            fence: 7,
        };
        self.planner.step(&input, at(millis))
    }

    /// Steps the planner every 20 ms until it sends an order; returns the time in
    /// milliseconds and the order.
    fn next_order(&mut self, from: u64, to: u64) -> Option<(u64, SentOrder)> {
        (from..to).step_by(20).find_map(|millis| {
            let sent = self
                .step(millis)
                .into_iter()
                .find_map(|effect| match effect {
                    PlannerEffect::Send(sent) => Some(sent),
                    _ => None,
                });
            sent.map(|sent| (millis, sent))
        })
    }

    fn status(
        &mut self,
        index: usize,
        models: &[&str],
        is_busy: bool,
        order_count: u64,
        requested_at: u64,
    ) {
        let id = self.endpoints[index].id.clone();
        let status = EndpointStatus {
            models: entry("any", models).models,
            is_busy,
            order_count,
            pending: Vec::new(),
            running: 0,
            waiting: 0,
        };
        self.planner
            .record_status(&id, &status, at(requested_at), at(requested_at + 5));
    }

    fn reply(&mut self, sent: &SentOrder, reply: OrderReply, millis: u64) {
        self.planner
            .record_reply(&sent.endpoint, &sent.order, reply, at(millis));
    }
}

/// Returns a fixture with one engine whose status is known, a VM ID, and the engine's
/// endpoint ID.
fn fixture_with_one_engine() -> (PlannerFixture, VmId, EndpointId) {
    let policy = engine_policy(&[("m0", 72_700.0)]);
    let mut fixture = PlannerFixture::new(policy, vec![entry("e1", &["m0"])]);
    let endpoint = fixture.endpoints[0].id.clone();
    fixture.step(0);
    fixture.step(600);
    fixture.status(0, &["m0"], false, 0, 700);
    (fixture, "vm-1".parse().unwrap(), endpoint)
}

#[test]
fn new_holder_reads_status_before_ordering() {
    let policy = engine_policy(&[("m0", 72_700.0), ("m1", 72_700.0)]);
    let mut fixture = PlannerFixture::new(policy, vec![entry("e1", &["m0"])]);
    fixture.set_demand("m1", 10_000.0);
    assert_eq!(fixture.next_order(0, 3_000), None);
    let is_status_read = fixture
        .step(3_100)
        .into_iter()
        .any(|effect| matches!(effect, PlannerEffect::ReadStatus { .. }));
    assert!(is_status_read);
}

#[test]
fn load_of_earlier_holder_keeps_memory_reserved() {
    let policy = engine_policy(&[("m0", 72_700.0), ("m1", 72_700.0), ("m2", 72_700.0)]);
    let mut fixture = PlannerFixture::new(policy, vec![entry("e1", &["m0"])]);
    fixture.set_demand("m2", 50_000.0);
    fixture.step(0);
    fixture.step(600);
    fixture.status(0, &["m0"], true, 3, 700);
    // The endpoint is busy with an order of the earlier holder; what it loads is not
    // known.
    assert_eq!(fixture.next_order(720, 2_000), None);
    // The status lists the model before the entry does.
    fixture.status(0, &["m0", "m1"], false, 3, 2_000);
    assert_eq!(fixture.next_order(2_020, 6_000), None);
}

#[test]
fn load_of_unknown_outcome_keeps_memory_reserved() {
    let policy = engine_policy(&[("m0", 72_700.0), ("m1", 72_700.0), ("m2", 72_700.0)]);
    let mut fixture = PlannerFixture::new(policy, vec![entry("e1", &["m0"])]);
    fixture.set_demand("m1", 50_000.0);
    fixture.step(0);
    fixture.step(600);
    fixture.status(0, &["m0"], false, 0, 700);
    let (millis, first) = fixture.next_order(720, 6_000).unwrap();
    assert_eq!(first.order, EndpointOrder::LoadModel(model("m1")));
    fixture.reply(&first, OrderReply::Unknown, millis + 400);
    fixture.set_demand("m1", 0.0);
    fixture.set_demand("m2", 90_000.0);
    // Every later order carries the same order count, so that at most one is performed.
    // Another model would not fit in addition to the load of unknown outcome.
    while let Some((millis, sent)) = fixture.next_order(millis + 420, millis + 8_000) {
        assert_eq!(sent.after, first.after);
        assert_eq!(sent.order, EndpointOrder::LoadModel(model("m1")));
        fixture.reply(&sent, OrderReply::Unknown, millis + 400);
        if millis > 9_000 {
            break;
        }
    }
}

#[test]
fn unload_of_idle_adapter_counts_as_order() {
    let (mut fixture, vm, endpoint) = fixture_with_one_engine();
    let mut millis = 720;
    let mut count = 0;
    for name in ["a1", "a2", "a3"] {
        let adapter = name.parse().unwrap();
        fixture
            .planner
            .request_adapter(&vm, &endpoint, &model("m0"), &adapter, at(millis));
        let (sent_at, mut sent) = fixture.next_order(millis, millis + 1_000).unwrap();
        millis = sent_at;
        if let EndpointOrder::UnloadAdapter(..) = sent.order {
            assert_eq!(sent.after, count);
            fixture.reply(&sent, OrderReply::Holds, millis + 2);
            count += 1;
            let (sent_at, next) = fixture.next_order(millis + 4, millis + 1_000).unwrap();
            millis = sent_at;
            sent = next;
        }
        assert_eq!(sent.after, count, "order count of the order for {name}");
        assert!(matches!(sent.order, EndpointOrder::LoadAdapter(..)));
        fixture.reply(&sent, OrderReply::Accepted, millis + 2);
        count += 1;
        // Long enough for the earlier adapters to become idle.
        millis += 3_000;
        fixture.step(millis);
    }
    assert_eq!(count, 4);
}

#[test]
fn adapters_never_exceed_slots() {
    let (mut fixture, vm, endpoint) = fixture_with_one_engine();
    for name in ["a1", "a2", "a3", "a4"] {
        let adapter = name.parse().unwrap();
        fixture
            .planner
            .request_adapter(&vm, &endpoint, &model("m0"), &adapter, at(720));
    }
    let mut held = 0_i32;
    let mut millis = 720;
    while let Some((sent_at, sent)) = fixture.next_order(millis, millis + 500) {
        millis = sent_at + 4;
        match sent.order {
            EndpointOrder::LoadAdapter(..) => {
                held += 1;
                fixture.reply(&sent, OrderReply::Accepted, millis);
            }
            EndpointOrder::UnloadAdapter(..) => {
                held -= 1;
                fixture.reply(&sent, OrderReply::Holds, millis);
            }
            other => panic!("expected an adapter order, got {other:?}"),
        }
        assert!(held <= 2, "{held} adapters in 2 slots");
        if millis > 3_000 {
            break;
        }
    }
}

#[test]
fn planner_never_unloads_last_copy() {
    let policy = engine_policy(&[("m0", 72_700.0), ("m1", 72_700.0), ("m2", 72_700.0)]);
    let endpoints = vec![entry("e1", &["m0", "m1"]), entry("e2", &["m0", "m2"])];
    let mut fixture = PlannerFixture::new(policy, endpoints);
    fixture.set_demand("m1", 500_000.0);
    fixture.step(0);
    fixture.step(600);
    fixture.status(0, &["m0", "m1"], false, 0, 700);
    fixture.status(1, &["m0", "m2"], false, 0, 700);
    let mut unloaded = Vec::new();
    for millis in (720..20_000).step_by(20) {
        for effect in fixture.step(millis) {
            if let PlannerEffect::Send(sent) = effect {
                if let EndpointOrder::UnloadModel(model) = &sent.order {
                    unloaded.push(model.clone());
                    let endpoint = fixture
                        .endpoints
                        .iter_mut()
                        .find(|entry| entry.id == sent.endpoint)
                        .unwrap();
                    endpoint.models.retain(|hosted| hosted.id != *model);
                }
                fixture.reply(&sent, OrderReply::Accepted, millis + 2);
            }
        }
    }
    assert_eq!(unloaded, [model("m0")]);
}

#[test]
fn new_holder_evicts_copies_without_minimum_age() {
    // The fleet has four copies of a model without demand and one of a model with all
    // the demand. A change of the lease holder must not delay evictions by the minimum
    // age of copies.
    let policy = engine_policy(&[("old", 90_000.0), ("hot", 90_000.0)]);
    let mut endpoints: Vec<EndpointEntry> = (0..4)
        .map(|index| entry(&format!("e{index}"), &["old"]))
        .collect();
    endpoints.push(entry("e4", &["hot"]));
    for endpoint in &mut endpoints {
        endpoint
            .models
            .push(entry("any", &["filler"]).models[0].clone());
    }
    let mut fixture = PlannerFixture::new(policy, endpoints);
    fixture
        .policy
        .models
        .push(support::profile("filler", 90_000.0));
    fixture.set_demand("hot", 100_000.0);
    fixture.step(600);
    for index in 0..5 {
        let held = if index == 4 { "hot" } else { "old" };
        fixture.status(index, &[held, "filler"], false, 3, 700);
    }
    let (millis, sent) = fixture.next_order(700, 3_000).unwrap();
    assert_eq!(sent.order, EndpointOrder::UnloadModel(model("old")));
    assert!(millis < 1_500, "first order at {millis} ms");
}

#[test]
fn concurrent_loads_use_store_rate() {
    // Loads of 4.2 s at 10 per second: about 36 concurrent loads keep their full speed.
    let names: Vec<String> = (0..60).map(|index| format!("m{index}")).collect();
    let sizes: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 72_700.0)).collect();
    let mut policy = engine_policy(&sizes);
    policy.loads_per_s = 10.0;
    let engines: Vec<EndpointEntry> = (0..60)
        .map(|index| entry(&format!("e{index}"), &[]))
        .collect();
    let mut fixture = PlannerFixture::new(policy, engines);
    for name in &names {
        fixture.set_demand(name, 10_000.0);
    }
    fixture.step(600);
    for index in 0..60 {
        fixture.status(index, &[], false, 1, 700);
    }
    let mut started = 0;
    for millis in (720..4_800).step_by(20) {
        for effect in fixture.step(millis) {
            let PlannerEffect::Send(sent) = effect else {
                continue;
            };
            assert!(matches!(sent.order, EndpointOrder::LoadModel(_)));
            started += 1;
            fixture.reply(&sent, OrderReply::Accepted, millis);
        }
    }
    assert!((32..=37).contains(&started), "{started} loads started");
}
