//! Tests that each specification holds within the small bounds, and that each
//! mutation violates an invariant.

use clementinepond_model::{Bounds, ExplorationReport, SPECIFICATIONS, SpecificationEntry};
use std::sync::LazyLock;

/// Explorations without a mutation, shared by all tests.
static UNMODIFIED: [LazyLock<ExplorationReport>; 4] = [
    LazyLock::new(|| explore_unmodified("limit")),
    LazyLock::new(|| explore_unmodified("claim")),
    LazyLock::new(|| explore_unmodified("plan")),
    LazyLock::new(|| explore_unmodified("configuration")),
];

#[expect(clippy::unwrap_used, reason = "a test fails by panicking")]
fn explore_unmodified(name: &str) -> ExplorationReport {
    entry(name).explore(Bounds::Small, None).unwrap()
}

#[expect(clippy::unwrap_used, reason = "a test fails by panicking")]
fn unmodified(name: &str) -> &'static ExplorationReport {
    let index = SPECIFICATIONS.iter().position(|entry| entry.name == name);
    &UNMODIFIED[index.unwrap()]
}

#[expect(clippy::unwrap_used, reason = "a test fails by panicking")]
fn entry(name: &str) -> &'static SpecificationEntry {
    let mut entries = SPECIFICATIONS.iter();
    entries.find(|entry| entry.name == name).unwrap()
}

fn assert_holds(name: &str) {
    let report = unmodified(name);
    assert_eq!(report.violation, None, "{report}");
    assert!(report.explorations.iter().all(|size| size.states > 100));
}

#[expect(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]
fn assert_needs_each_guard(name: &str) {
    let entry = entry(name);
    let unmodified = unmodified(name);
    for mutation in entry.mutations {
        let report = entry.explore(Bounds::Small, Some(mutation.name)).unwrap();
        let violation = report.violation.as_ref();
        let violation = violation.unwrap_or_else(|| panic!("{name} holds with {mutation:?}"));
        assert!(violation.steps.len() > 1, "{report}");
        // A violation shows that the guard is needed only under bounds within which
        // the specification without a mutation holds.
        for size in &report.explorations {
            let mut holding = unmodified
                .explorations
                .iter()
                .filter(|other| !other.violated);
            assert!(holding.any(|other| other.bounds == size.bounds), "{report}");
        }
    }
}

#[test]
fn limit_holds() {
    assert_holds("limit");
}

#[test]
fn claim_holds() {
    assert_holds("claim");
}

#[test]
fn plan_holds() {
    assert_holds("plan");
}

#[test]
fn configuration_holds() {
    assert_holds("configuration");
}

#[test]
fn limit_needs_each_guard() {
    assert_needs_each_guard("limit");
}

#[test]
fn claim_needs_each_guard() {
    assert_needs_each_guard("claim");
}

#[test]
fn plan_needs_each_guard() {
    assert_needs_each_guard("plan");
}

#[test]
fn configuration_needs_each_guard() {
    assert_needs_each_guard("configuration");
}

#[test]
fn counterexample_lists_numbered_steps() {
    let mutation = Some("accept_older");
    let report = entry("configuration")
        .explore(Bounds::Small, mutation)
        .unwrap();
    let text = report.to_string();
    assert!(
        text.contains("  1. the operator writes version 1\n"),
        "{text}"
    );
    let end = "violated: a version in force was replaced by an older one";
    assert!(text.ends_with(end), "{text}");
}

#[test]
fn unknown_mutation_is_rejected() {
    for entry in SPECIFICATIONS {
        let error = entry.explore(Bounds::Small, Some("none_such")).unwrap_err();
        assert!(error.to_string().contains(entry.mutations[0].name));
    }
}
