//! What a specification consists of.

use std::fmt::Display;
use std::hash::Hash;

/// Steps and invariants of one part of the protocol.
pub(crate) trait Specification {
    /// Everything that the future depends on.
    type State: Clone + Eq + Hash;
    /// One thing that may happen.
    type Step: Display;

    /// Returns the state at the start.
    fn start(&self) -> Self::State;

    /// Returns everything that may happen next.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// Returns the invariant that a state breaks.
    fn breach(&self, state: &Self::State) -> Option<&'static str>;
}
