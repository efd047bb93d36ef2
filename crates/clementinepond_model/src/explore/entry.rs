//! The list of specifications.

use super::report::{Bounds, ExplorationReport};
use derive_more::{Display, Error};

/// Guard that can be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MutationEntry {
    /// Name on the command line.
    pub name: &'static str,
    /// What goes without the guard.
    pub about: &'static str,
}

/// Reason for which a mutation cannot be explored.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("there is no mutation {name:?} of {specification}; choose one of {known}")]
pub struct MutationError {
    /// Name that was given.
    pub name: Box<str>,
    /// Specification.
    pub specification: &'static str,
    /// Names that exist.
    pub known: Box<str>,
}

/// One specification.
#[derive(Debug, Clone, Copy)]
pub struct SpecificationEntry {
    /// Name on the command line.
    pub name: &'static str,
    /// What is specified and what must hold.
    pub about: &'static str,
    /// Guards that can be removed.
    pub mutations: &'static [MutationEntry],
    pub(crate) run: fn(Bounds, Option<&'static str>) -> ExplorationReport,
}

impl SpecificationEntry {
    /// Explores the specification, with one guard removed if named.
    ///
    /// # Errors
    ///
    /// Returns an error when there is no mutation of that name.
    pub fn explore(
        &self,
        bounds: Bounds,
        mutation: Option<&str>,
    ) -> Result<ExplorationReport, MutationError> {
        let Some(name) = mutation else {
            return Ok((self.run)(bounds, None));
        };
        let known = self.mutations.iter().find(|entry| entry.name == name);
        let Some(known) = known else {
            return Err(self.unknown(name));
        };
        Ok((self.run)(bounds, Some(known.name)))
    }

    fn unknown(&self, name: &str) -> MutationError {
        let names: Vec<_> = self.mutations.iter().map(|entry| entry.name).collect();
        MutationError {
            name: name.into(),
            specification: self.name,
            known: names.join(", ").into(),
        }
    }
}
