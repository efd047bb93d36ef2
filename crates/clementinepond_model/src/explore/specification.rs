//! Interface between a specification and the explorer.

use std::fmt::Display;
use std::hash::Hash;

/// Steps and invariants of one part of the protocol.
pub(crate) trait Specification {
    /// State of the system, with everything that later steps depend on.
    type State: Clone + Eq + Hash;
    /// Event that leads from one state to another.
    type Step: Display;

    /// Returns the initial state.
    fn start(&self) -> Self::State;

    /// Returns every possible step with the state it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// Returns the invariant that a state violates, if any.
    fn violated_invariant(&self, state: &Self::State) -> Option<&'static str>;
}
