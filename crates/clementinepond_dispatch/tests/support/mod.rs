//! Builders of policies, endpoint entries and routes for the tests.

#![allow(
    dead_code,
    clippy::unwrap_used,
    reason = "a test stops at the first error and uses only some of the helpers"
)]

use clementinepond_dispatch::fleet::{
    EndpointEntry, EndpointPhase, EnginePolicy, HostedModel, ModelProfile, RetryRule, RoutePolicy,
    ServiceId,
};
use clementinepond_types::{LocalTime, ModelId, TimeSpan};

pub(crate) fn at(millis: u64) -> LocalTime {
    LocalTime::from_micros(1_000_000_000 + millis * 1_000)
}

pub(crate) fn model(name: &str) -> ModelId {
    name.parse().unwrap()
}

pub(crate) fn profile(name: &str, weights_mb: f64) -> ModelProfile {
    ModelProfile {
        id: model(name),
        weights_mb,
        store_load: TimeSpan::from_millis(4_200),
        memory_load: TimeSpan::from_millis(600),
        disk_load: TimeSpan::from_millis(900),
        adapters: 8,
        adapter_mb: 66.0,
    }
}

pub(crate) fn engine_policy(models: &[(&str, f64)]) -> EnginePolicy {
    EnginePolicy {
        slots: 64,
        kv_capacity: 270_000,
        weights_mb: 200_000.0,
        adapter_slots: 2,
        loads_per_s: 1.1,
        models: models.iter().map(|(name, mb)| profile(name, *mb)).collect(),
    }
}

pub(crate) fn entry(name: &str, models: &[&str]) -> EndpointEntry {
    EndpointEntry {
        id: name.parse().unwrap(),
        service: ServiceId::new("engines"),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "dc-a".parse().unwrap(),
        software: "v1".parse().unwrap(),
        phase: EndpointPhase::Ready,
        slots: 64,
        started_ms: 1_000,
        order_count: 0,
        time_left: None,
        models: models
            .iter()
            .map(|name| HostedModel {
                id: model(name),
                version: 1,
                adapters: Vec::new(),
            })
            .collect(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
    }
}

pub(crate) fn route(latency_target: TimeSpan) -> RoutePolicy {
    RoutePolicy {
        name: "route".into(),
        host: "example".into(),
        path_prefix: "/".into(),
        retry_rule: RetryRule::Stream,
        timeout: TimeSpan::from_secs(15),
        latency_target,
        pause_target: None,
        priority: 0,
        targets: Vec::new(),
        max_attempts: 1,
        is_anonymous: false,
    }
}
