//! The specifications hold, and hold because of their guards.

use clementinepond_model::{Bounds, SPECIFICATIONS};

#[test]
fn small_bounds_hold() {
    for entry in SPECIFICATIONS {
        let report = entry.explore(Bounds::Small, None).unwrap();
        println!("{report}");
        assert_eq!(report.violation, None, "{report}");
        assert!(report.states() > 100);
    }
}

#[test]
fn each_mutation_yields_a_counterexample() {
    for entry in SPECIFICATIONS {
        for mutation in entry.mutations {
            let report = entry.explore(Bounds::Small, Some(mutation.name)).unwrap();
            println!("mutation={} {report}", mutation.name);
            let violation = report
                .violation
                .unwrap_or_else(|| panic!("{} holds without {}", entry.name, mutation.name));
            assert!(violation.steps.len() > 1);
        }
    }
}

#[test]
fn an_unknown_mutation_is_refused() {
    for entry in SPECIFICATIONS {
        let error = entry.explore(Bounds::Small, Some("none_such")).unwrap_err();
        assert!(error.to_string().contains(entry.mutations[0].name));
    }
}
