//! What an exploration found.

use derive_more::{Display, FromStr};
use std::fmt;

/// Size of an exploration.
#[derive(Debug, Display, FromStr, Clone, Copy, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Bounds {
    /// Explored in CI.
    Small,
    /// Explored by hand.
    Large,
}

/// Shortest way to a breach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Counterexample {
    /// Invariant that is broken at the end.
    pub invariant: Box<str>,
    /// Steps from the start, one line each.
    pub steps: Vec<Box<str>>,
}

impl fmt::Display for Counterexample {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.steps.iter().enumerate() {
            writeln!(formatter, "{:>3}. {step}", index + 1)?;
        }
        write!(formatter, "broken: {}", self.invariant)
    }
}

/// Size of one exploration.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
#[display("bounds={bounds:?} states={states} depth={depth} holds={}", !breached)]
pub struct ExplorationSize {
    /// Bounds in words.
    pub bounds: Box<str>,
    /// States found, up to the breach if there is one.
    pub states: u64,
    /// Largest number of steps from the start to any of them.
    pub depth: u32,
    /// Whether an invariant was broken.
    pub breached: bool,
}

/// Outcome of all explorations of a specification.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExplorationReport {
    /// Name of the specification.
    pub specification: &'static str,
    /// Explorations under different bounds, up to the first breach.
    pub explorations: Vec<ExplorationSize>,
    /// Shortest way to a breach, if there is one.
    pub violation: Option<Counterexample>,
}

impl ExplorationReport {
    /// Returns the states found in all explorations.
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
