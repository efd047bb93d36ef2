//! Breadth-first search of the reachable states.

use super::report::{Counterexample, ExplorationReport, ExplorationSize};
use super::specification::Specification;
use pathfinding::directed::bfs::{bfs, bfs_reach};

/// Explores a specification under each of its bounds, up to the first violation.
pub(crate) fn explore_all<B: ToString, S: Specification>(
    name: &'static str,
    specifications: impl IntoIterator<Item = (B, S)>,
) -> ExplorationReport {
    let mut report = ExplorationReport {
        specification: name,
        explorations: Vec::new(),
        violation: None,
    };
    for (bounds, specification) in specifications {
        let exploration = explore(bounds.to_string(), &specification);
        let violated = exploration.violated;
        report.explorations.push(exploration);
        if violated {
            report.violation = shortest_counterexample(&specification);
            break;
        }
    }
    report
}

fn explore<S: Specification>(bounds: String, specification: &S) -> ExplorationSize {
    let successors = |state: &S::State| next_states(specification, state);
    let mut reached = bfs_reach(specification.start(), successors);
    let mut size = ExplorationSize {
        bounds: bounds.into(),
        states: 0,
        depth: 0,
        violated: false,
    };
    // States arrive in the order of their depth. A level is complete once all
    // states that were known at the end of the previous level have been visited.
    let mut level_end = 1;
    while let Some(state) = reached.next() {
        size.states += 1;
        if specification.violated_invariant(&state).is_some() {
            size.violated = true;
            break;
        }
        if size.states == level_end {
            let left = reached.remaining_nodes_low_bound() as u64;
            level_end += left;
            size.depth += u32::from(left > 0);
        }
    }
    size
}

fn next_states<S: Specification>(specification: &S, state: &S::State) -> Vec<S::State> {
    let steps = specification.steps(state);
    steps.into_iter().map(|(_, next)| next).collect()
}

fn shortest_counterexample<S: Specification>(specification: &S) -> Option<Counterexample> {
    let start = specification.start();
    let successors = |state: &S::State| next_states(specification, state);
    let violates = |state: &S::State| specification.violated_invariant(state).is_some();
    let path = bfs(&start, successors, violates)?;
    let invariant = path
        .last()
        .and_then(|state| specification.violated_invariant(state))?;
    let steps = path.windows(2).filter_map(|pair| match pair {
        [before, after] => describe_step(specification, before, after),
        _ => None,
    });
    Some(Counterexample {
        invariant: invariant.into(),
        steps: steps.collect(),
    })
}

fn describe_step<S: Specification>(
    specification: &S,
    before: &S::State,
    after: &S::State,
) -> Option<Box<str>> {
    let mut steps = specification.steps(before).into_iter();
    let (step, _) = steps.find(|(_, next)| next == after)?;
    Some(step.to_string().into())
}
