//! Breadth-first search by the library.

use super::report::{Counterexample, ExplorationReport, ExplorationSize};
use super::specification::Specification;
use pathfinding::directed::bfs::{bfs, bfs_reach};

/// Explores under each of the bounds, or up to the first breach.
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
        let breached = exploration.breached;
        report.explorations.push(exploration);
        if breached {
            report.violation = shortest_breach(&specification);
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
        breached: false,
    };
    // States come in the order of their depth; a level is complete once all
    // states known at the end of the level before it were visited.
    let mut level_end = 1;
    while let Some(state) = reached.next() {
        size.states += 1;
        if specification.breach(&state).is_some() {
            size.breached = true;
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

fn shortest_breach<S: Specification>(specification: &S) -> Option<Counterexample> {
    let start = specification.start();
    let successors = |state: &S::State| next_states(specification, state);
    let breaks = |state: &S::State| specification.breach(state).is_some();
    let path = bfs(&start, successors, breaks)?;
    let invariant = path.last().and_then(|state| specification.breach(state))?;
    let steps = path.windows(2).filter_map(|pair| match pair {
        [before, after] => name_step(specification, before, after),
        _ => None,
    });
    Some(Counterexample {
        invariant: invariant.into(),
        steps: steps.collect(),
    })
}

fn name_step<S: Specification>(
    specification: &S,
    before: &S::State,
    after: &S::State,
) -> Option<Box<str>> {
    let mut steps = specification.steps(before).into_iter();
    let (step, _) = steps.find(|(_, next)| next == after)?;
    Some(step.to_string().into())
}
