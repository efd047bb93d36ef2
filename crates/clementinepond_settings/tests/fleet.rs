//! Tests of the checks and changes of the fleet configuration.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

use clementinepond_settings::fleet::{ChangeError, ConfigurationChange, FleetConfiguration};
use clementinepond_settings::vm::{SETTING_ENTRIES, VmSettings};
use serde_json::{Value, json};
use std::collections::BTreeSet;

fn configuration() -> FleetConfiguration {
    FleetConfiguration::read(json!({
        "data_centres": {"dc-1": {"limit_parts": 1024}},
        "accounts": {"coop": {"rate": "100tok/s", "burst": "1000tok"}},
        "keys": {"00".repeat(32): {"account": "coop"}},
        "models": {"ledger": {"version": "1", "memory_mib": 100}},
    }))
    .unwrap()
}

#[test]
fn every_fault_is_listed() {
    let faults = FleetConfiguration::read(json!({
        "data_centres": {"a": {"limit_parts": 1000}, "b": {"limit_parts": 1000}},
        "accounts": {"coop": {"rate": "0tok/s", "burst": "0tok"}},
        "keys": {"00".repeat(32): {"account": "nobody"}},
        "exceptions": [{"change": {"replica_minimum": {"model": "none", "replicas": 2}}, "reason": " "}],
    }))
    .unwrap_err();
    assert_eq!(faults.faults.len(), 6, "{faults}");
    assert!(faults.to_string().contains("add up to 2000"));
}

#[test]
fn exception_without_reason_is_refused() {
    let change = serde_json::from_value(json!({
        "exceptions": [{"change": {"replica_minimum": {"model": "ledger", "replicas": 2}}, "reason": ""}]
    }))
    .unwrap();
    let error = configuration().with_change(change).unwrap_err();
    assert!(matches!(error, ChangeError::Invalid(_)));
}

#[test]
fn removing_account_removes_its_keys() {
    let change = ConfigurationChange::Account("coop".parse().unwrap(), None);
    let changed = configuration().with_change(change).unwrap();
    assert!(changed.keys.is_empty());
}

#[test]
fn removing_unknown_entry_fails() {
    let change = ConfigurationChange::Model("none".parse().unwrap(), None);
    assert_eq!(
        configuration().with_change(change),
        Err(ChangeError::Missing)
    );
}

#[test]
fn reference_lists_every_setting() {
    let text = include_str!("../resources/test/fixtures/minimal.jsonc");
    let settings = VmSettings::read_text("minimal", text).unwrap();
    let mut found = BTreeSet::new();
    collect("", &serde_json::to_value(settings).unwrap(), &mut found);
    let listed: BTreeSet<String> = SETTING_ENTRIES
        .iter()
        .map(|entry| entry.path.to_owned())
        .collect();
    assert_eq!(found, listed);
}

fn collect(path: &str, value: &Value, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                let path = [path, name].join(if path.is_empty() { "" } else { "." });
                collect(&path, member, found);
            }
        }
        _ => {
            found.insert(path.to_owned());
        }
    }
}
