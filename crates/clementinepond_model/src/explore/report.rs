//! Results of an exploration.

use derive_more::{Display, FromStr};
use std::fmt;

/// Set of bounds to explore.
#[derive(Debug, Display, FromStr, Clone, Copy, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Bounds {
    /// Bounds small enough for CI.
    Small,
    /// Larger bounds, for runs by hand.
    Large,
}

/// Shortest trace to a violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// Invariant that the last state violates.
    pub invariant: Box<str>,
    /// Descriptions of the steps from the start, one line each.
    pub steps: Vec<Box<str>>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.steps.iter().enumerate() {
            writeln!(formatter, "{:>3}. {step}", index + 1)?;
        }
        write!(formatter, "violated: {}", self.invariant)
    }
}

/// Size and outcome of one exploration.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
#[display("bounds={bounds:?} states={states} depth={depth} holds={}", !violated)]
pub struct ExplorationSize {
    /// Description of the bounds.
    pub bounds: Box<str>,
    /// Number of states visited, up to the first violation.
    pub states: u64,
    /// Largest number of steps from the start to any visited state.
    pub depth: u32,
    /// Whether a state violates an invariant.
    pub violated: bool,
}

/// Outcome of all explorations of a specification.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExplorationReport {
    /// Name of the specification.
    pub specification: &'static str,
    /// Explorations under different bounds, up to the first violation.
    pub explorations: Vec<ExplorationSize>,
    /// Shortest trace to a violation; none if all invariants hold.
    pub violation: Option<Counterexample>,
}

impl ExplorationReport {
    /// Returns the number of states visited in all explorations.
    #[must_use]
    pub fn states(&self) -> u64 {
        self.explorations.iter().map(|size| size.states).sum()
    }
}

impl fmt::Display for ExplorationReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for size in &self.explorations {
            writeln!(formatter, "specification={} {size}", self.specification)?;
        }
        match &self.violation {
            Some(violation) => write!(formatter, "{violation}"),
            None => write!(formatter, "specification={} holds", self.specification),
        }
    }
}
