//! A small specification of the core protocol, explored exhaustively.
//!
//! Each part of the protocol has a module with its state, steps, invariants and
//! mutations. A step is any event that may happen next: a VM acts, a message
//! arrives, a clock advances, or a process crashes. A message stays in the state
//! for as long as its arrival can change anything, and arrives at any time or
//! never. Loss, duplication, reordering and delay therefore need no steps of
//! their own. A mutation removes one guard of the protocol. Each mutation must
//! violate an invariant; the shortest trace to the violation is reported.
//!
//! The specification shares no code with the implementation.

mod claim;
mod configuration;
mod explore;
mod limit;
mod plan;

pub use explore::{
    Bounds, Counterexample, ExplorationReport, ExplorationSize, MutationEntry, MutationError,
    SpecificationEntry,
};

/// Specifications of all parts of the protocol.
pub const SPECIFICATIONS: &[SpecificationEntry] = &[
    limit::ENTRY,
    claim::ENTRY,
    plan::ENTRY,
    configuration::ENTRY,
];
