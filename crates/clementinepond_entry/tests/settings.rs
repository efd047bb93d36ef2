//! Parsing of valid and invalid settings, and completeness of the reference page.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

use clementinepond_entry::{EntrySettings, SettingsError, entry_reference_page};
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "vm": "vm-1",
        "data_centre": "dc-a",
        "listen": {
            "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
            "peers": "127.0.0.1:3", "metrics": "127.0.0.1:4"
        },
        "store": { "address": "127.0.0.1:5" },
        "retry": { "ratio": 0.2, "allowance": 52, "window_s": 10 },
        "orders": { "holder_gap_ms": 3000 },
        "shutdown": { "grace_s": 7.5 },
        "peers": { "interval_ms": null },
        "capacity": { "link_mbps": 10.0, "cpu_share": 0.12 }
    })
}

fn parse(value: &Value) -> Result<EntrySettings, SettingsError> {
    EntrySettings::parse("test", &format!("// A comment.\n{value}"))
}

#[test]
fn integers_fractions_and_defaults_are_parsed() {
    let settings = parse(&settings()).unwrap();
    assert!((settings.shutdown.grace_s - 7.5).abs() < 1e-9);
    assert!(settings.peers.interval_ms > 0.0);
}

#[test]
fn invalid_value_error_names_the_setting() {
    for (place, wrong) in [
        ("vm", json!("")),
        ("listen.callers", json!("nowhere")),
        ("store.address", json!(7)),
        ("retry.ratio", json!("much")),
    ] {
        let mut value = settings();
        let pointer = format!("/{}", place.replace('.', "/"));
        *value.pointer_mut(&pointer).unwrap() = wrong;
        let error = parse(&value).unwrap_err().to_string();
        assert!(error.contains(place), "{place}: {error}");
    }
    let mut unknown = settings();
    unknown["store"]["colour"] = json!("blue");
    assert!(parse(&unknown).unwrap_err().to_string().contains("colour"));
}

#[test]
fn reference_page_lists_every_setting() {
    fn collect(prefix: &str, value: &Value, found: &mut Vec<String>) {
        match value {
            Value::Object(members) => {
                for (name, member) in members {
                    collect(&format!("{prefix}{name}."), member, found);
                }
            }
            _ => found.push(prefix.trim_end_matches('.').to_owned()),
        }
    }
    let mut places = Vec::new();
    collect("", &settings(), &mut places);
    let page = entry_reference_page();
    for place in places {
        assert!(
            page.contains(&format!("| `{place}` |")),
            "{place} is not listed"
        );
    }
}
