//! A small specification of the core protocol, explored exhaustively.
//!
//! Each part has a folder with its state, its steps, its invariants and its
//! mutations. A step is anything that may happen next: a VM acts, a message
//! arrives, a clock advances, a process crashes. Messages stay in the state
//! after they arrive, so that loss, doubling, reordering and delay need no
//! steps of their own. A mutation removes one guard; each must lead to a
//! breach, which is told as a trace.
//!
//! The specification shares no code with the product.

mod claim;
mod configuration;
mod explore;
mod limit;
mod plan;

pub use explore::{
    Bounds, Counterexample, ExplorationReport, ExplorationSize, MutationEntry, MutationError,
    SpecificationEntry,
};

/// All specifications.
pub const SPECIFICATIONS: &[SpecificationEntry] = &[
    limit::ENTRY,
    claim::ENTRY,
    plan::ENTRY,
    configuration::ENTRY,
];
