//! Breadth-first search by the library.

use super::report::{Counterexample, ExplorationReport};
use super::specification::Specification;
use pathfinding::directed::bfs::{bfs, bfs_reach};

/// Explores all states, or those up to the first breach.
pub(crate) fn explore<S: Specification>(
    name: &'static str,
    bounds: String,
    specification: &S,
) -> ExplorationReport {
    let successors = |state: &S::State| next_states(specification, state);
    let mut reached = bfs_reach(specification.start(), successors);
    let mut report = ExplorationReport {
        specification: name,
        bounds: bounds.into(),
        states: 0,
        depth: 0,
        violation: None,
    };
    // States come in the order of their depth; a level is complete once all
    // states known at the end of the level before it were visited.
    let mut level_end = 1;
    let mut breached = false;
    while let Some(state) = reached.next() {
        report.states += 1;
        if specification.breach(&state).is_some() {
            breached = true;
            break;
        }
        if report.states == level_end {
            let left = reached.remaining_nodes_low_bound() as u64;
            level_end += left;
            report.depth += u32::from(left > 0);
        }
    }
    if breached {
        report.violation = shortest_breach(specification);
    }
    report
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
