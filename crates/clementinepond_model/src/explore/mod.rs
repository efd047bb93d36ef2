//! Exhaustive exploration of a specification.

mod entry;
mod explorer;
mod report;
mod specification;

pub use entry::{MutationEntry, MutationError, SpecificationEntry};
pub(crate) use explorer::explore_all;
pub use report::{Bounds, Counterexample, ExplorationReport, ExplorationSize};
pub(crate) use specification::Specification;
