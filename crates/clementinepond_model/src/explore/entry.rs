//! Entries of the list of specifications.

use super::report::{Bounds, ExplorationReport};
use derive_more::{Display, Error};

/// Mutation that removes one guard of a specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MutationEntry {
    /// Name on the command line.
    pub name: &'static str,
    /// Behaviour without the guard.
    pub about: &'static str,
}

/// Error for a mutation name that the specification does not have.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("specification {specification} has no mutation {name:?}; choose one of {known}")]
pub struct MutationError {
    /// Requested name.
    pub name: Box<str>,
    /// Name of the specification.
    pub specification: &'static str,
    /// Available names, separated by commas.
    pub known: Box<str>,
}

/// Specification of one part of the protocol.
#[derive(Debug, Clone, Copy)]
pub struct SpecificationEntry {
    /// Name on the command line.
    pub name: &'static str,
    /// Subject of the specification and the property that must hold.
    pub about: &'static str,
    /// Available mutations.
    pub mutations: &'static [MutationEntry],
    pub(crate) run: fn(Bounds, Option<&'static str>) -> ExplorationReport,
}

impl SpecificationEntry {
    /// Explores the specification, with one guard removed if a mutation is named.
    ///
    /// # Errors
    ///
    /// Returns an error if the specification has no mutation of that name.
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
            return Err(self.unknown_mutation(name));
        };
        Ok((self.run)(bounds, Some(known.name)))
    }

    fn unknown_mutation(&self, name: &str) -> MutationError {
        let names: Vec<_> = self.mutations.iter().map(|entry| entry.name).collect();
        MutationError {
            name: name.into(),
            specification: self.name,
            known: names.join(", ").into(),
        }
    }
}
