//! Tests of the choice of an endpoint and of the prefix index.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use clementinepond_decide::route::{
    EndpointProfile, EndpointReport, EndpointRole, ModelReplica, PrefixHash, PrefixIndex,
    ReplicaState, RouteQuery, RouteSettings, RouteTable, RouteTarget,
};
use clementinepond_types::{EndpointId, FencingNumber, LocalTime, MemorySize, ModelId, TimeSpan};
use std::collections::{BTreeMap, BTreeSet};

fn model() -> ModelId {
    "ledger".parse().unwrap()
}

fn endpoint(index: u32) -> EndpointId {
    format!("engine-{index}").parse().unwrap()
}

fn report(number: u64, running: u32) -> EndpointReport {
    let replica = ModelReplica {
        version: "1".into(),
        state: ReplicaState::Ready,
        memory_mib: MemorySize::new(1),
    };
    EndpointReport {
        incarnation: 1,
        report_number: number,
        running,
        queued: 0,
        draining: false,
        fencing_number: FencingNumber::new(0),
        models: BTreeMap::from([(model(), replica)]),
        adapters: BTreeMap::new(),
    }
}

fn table(count: u32) -> RouteTable {
    let mut table = RouteTable::new(RouteSettings::default(), "dc-1".parse().unwrap());
    let profile = EndpointProfile {
        data_centre: "dc-1".parse().unwrap(),
        role: EndpointRole::Engine,
        leaving: false,
    };
    let profiles = (0..count).map(|index| (endpoint(index), profile.clone()));
    table.configure(profiles.collect());
    for index in 0..count {
        table.apply_report(&endpoint(index), report(1, 0), LocalTime::ORIGIN);
    }
    table
}

fn query(seed: u64) -> RouteQuery {
    RouteQuery {
        target: RouteTarget::Model {
            model: model(),
            adapter: None,
        },
        prefix: None,
        prompt_tokens: 100,
        excluded: BTreeSet::new(),
        avoided: BTreeSet::new(),
        seed,
    }
}

#[test]
fn leaving_endpoint_gets_no_requests() {
    let mut table = table(3);
    let mut draining = report(2, 0);
    draining.draining = true;
    table.apply_report(&endpoint(1), draining, LocalTime::ORIGIN);
    for seed in 0..200 {
        assert_ne!(
            table.choose(&query(seed), LocalTime::ORIGIN),
            Ok(endpoint(1))
        );
    }
}

#[test]
fn endpoint_in_backoff_is_chosen_only_without_alternative() {
    let mut table = table(2);
    table.record_sent(&endpoint(0), None);
    table.record_ended(&endpoint(0), true, LocalTime::ORIGIN);
    for seed in 0..50 {
        assert_eq!(
            table.choose(&query(seed), LocalTime::ORIGIN),
            Ok(endpoint(1))
        );
    }
    table.endpoints.remove(&endpoint(1));
    assert_eq!(table.choose(&query(1), LocalTime::ORIGIN), Ok(endpoint(0)));
}

#[test]
fn excluded_endpoint_is_never_chosen() {
    let table = table(2);
    let mut query = query(3);
    query.excluded = BTreeSet::from([endpoint(0), endpoint(1)]);
    assert!(table.choose(&query, LocalTime::ORIGIN).is_err());
}

#[test]
fn older_report_is_ignored() {
    let mut table = table(1);
    assert!(table.apply_report(&endpoint(0), report(5, 9), LocalTime::ORIGIN));
    assert!(!table.apply_report(&endpoint(0), report(4, 0), LocalTime::ORIGIN));
    let state = &table.endpoints[&endpoint(0)];
    assert_eq!(state.report.as_ref().unwrap().running, 9);
}

#[test]
fn endpoint_with_cached_prefix_is_chosen_unless_its_wait_is_longer() {
    let mut table = table(8);
    let prefix = PrefixHash::new(7);
    let state = table.endpoints.get_mut(&endpoint(5)).unwrap();
    state.prefixes.insert(prefix, 10);
    let mut query = query(11);
    query.prefix = Some(prefix);
    query.prompt_tokens = 2_000;
    assert_eq!(table.choose(&query, LocalTime::ORIGIN), Ok(endpoint(5)));
    table.apply_report(&endpoint(5), report(2, 100), LocalTime::ORIGIN);
    assert_ne!(table.choose(&query, LocalTime::ORIGIN), Ok(endpoint(5)));
}

#[test]
fn endpoint_without_recent_report_is_avoided() {
    let mut table = table(2);
    let later = LocalTime::ORIGIN + TimeSpan::from_secs(60);
    table.apply_report(&endpoint(1), report(2, 50), later);
    for seed in 0..50 {
        assert_eq!(table.choose(&query(seed), later), Ok(endpoint(1)));
    }
}

#[test]
fn sequence_gap_drops_older_half_of_prefixes() {
    let mut index = PrefixIndex::default();
    for number in 0..10 {
        index.observe_sequence(number);
        index.insert(PrefixHash::new(number), 100);
    }
    index.observe_sequence(20);
    assert_eq!(index.prefixes().len(), 5);
    assert!(index.contains(PrefixHash::new(9)));
    assert!(!index.contains(PrefixHash::new(0)));
}
