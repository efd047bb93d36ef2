//! Checks that the reference page lists every log event of the daemon and of entry VMs.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

use std::collections::BTreeSet;
use std::path::Path;

const PREFIX: &str = "event=";

fn collect(folder: &Path, found: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect(&path, found);
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        for piece in text.split(PREFIX).skip(1) {
            let is_name = |c: &char| c.is_ascii_lowercase() || *c == '_';
            found.insert(piece.chars().take_while(is_name).collect());
        }
    }
}

#[test]
fn reference_lists_every_log_event() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut found = BTreeSet::new();
    collect(&crates.join("clementinepond_daemon/src"), &mut found);
    collect(&crates.join("clementinepond_entry/src"), &mut found);
    let page = include_str!("../../../docs/reference/log-events.md");
    for name in found {
        assert!(
            page.contains(&format!("| `{name}` |")),
            "{name} is missing from docs/reference/log-events.md"
        );
    }
}
