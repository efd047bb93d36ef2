//! Exhaustive exploration of a specification.

mod entry;
mod explorer;
mod mutation_list;
mod report;
mod specification;

pub use entry::{MutationEntry, MutationError, SpecificationEntry};
pub(crate) use explorer::explore_all;
pub(crate) use mutation_list::mutations;
pub use report::{Bounds, Counterexample, ExplorationReport, ExplorationSize};
pub(crate) use specification::Specification;
