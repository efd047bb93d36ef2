//! The specifications hold within small bounds, and because of their guards.

use clementinepond_model::{Bounds, ExplorationReport, SPECIFICATIONS, SpecificationEntry};
use std::sync::LazyLock;

/// Explorations of the whole protocols, shared by all tests.
static WHOLE: [LazyLock<ExplorationReport>; 4] = [
    LazyLock::new(|| explore_whole("limit")),
    LazyLock::new(|| explore_whole("claim")),
    LazyLock::new(|| explore_whole("plan")),
    LazyLock::new(|| explore_whole("configuration")),
];

#[expect(clippy::unwrap_used, reason = "a test fails by panicking")]
fn explore_whole(name: &str) -> ExplorationReport {
    entry(name).explore(Bounds::Small, None).unwrap()
}

#[expect(clippy::unwrap_used, reason = "a test fails by panicking")]
fn whole(name: &str) -> &'static ExplorationReport {
    let index = SPECIFICATIONS.iter().position(|entry| entry.name == name);
    &WHOLE[index.unwrap()]
}

#[expect(clippy::unwrap_used, reason = "a test fails by panicking")]
fn entry(name: &str) -> &'static SpecificationEntry {
    let mut entries = SPECIFICATIONS.iter();
    entries.find(|entry| entry.name == name).unwrap()
}

fn holds(name: &str) {
    let report = whole(name);
    assert_eq!(report.violation, None, "{report}");
    assert!(report.explorations.iter().all(|size| size.states > 100));
}

#[expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]
fn breaks_without_each_guard(name: &str) {
    let entry = entry(name);
    let whole = whole(name);
    for mutation in entry.mutations {
        let report = entry.explore(Bounds::Small, Some(mutation.name)).unwrap();
        let violation = report.violation.as_ref();
        let violation = violation.unwrap_or_else(|| panic!("{name} holds without {mutation:?}"));
        assert!(violation.steps.len() > 1, "{report}");
        // The guard is shown to matter only where the whole protocol holds.
        for size in &report.explorations {
            let mut sound = whole.explorations.iter().filter(|other| !other.breached);
            assert!(sound.any(|other| other.bounds == size.bounds), "{report}");
        }
    }
}

#[test]
fn limit_holds() {
    holds("limit");
}

#[test]
fn claim_holds() {
    holds("claim");
}

#[test]
fn plan_holds() {
    holds("plan");
}

#[test]
fn configuration_holds() {
    holds("configuration");
}

#[test]
fn limit_needs_each_guard() {
    breaks_without_each_guard("limit");
}

#[test]
fn claim_needs_each_guard() {
    breaks_without_each_guard("claim");
}

#[test]
fn plan_needs_each_guard() {
    breaks_without_each_guard("plan");
}

#[test]
fn configuration_needs_each_guard() {
    breaks_without_each_guard("configuration");
}

#[test]
fn a_trace_reads_as_numbered_steps() {
    let mutation = Some("accept_older");
    let report = entry("configuration")
        .explore(Bounds::Small, mutation)
        .unwrap();
    let text = report.to_string();
    assert!(
        text.contains("  1. the operator writes version 1\n"),
        "{text}"
    );
    let end = "broken: a version in force was replaced by an older one";
    assert!(text.ends_with(end), "{text}");
}

#[test]
fn an_unknown_mutation_is_refused() {
    for entry in SPECIFICATIONS {
        let error = entry.explore(Bounds::Small, Some("none_such")).unwrap_err();
        assert!(error.to_string().contains(entry.mutations[0].name));
    }
}
