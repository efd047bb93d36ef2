//! The one reducer of a VM.
//!
//! Every event of a VM enters here and goes to the part that it concerns;
//! what one part asks of another is carried over at once, and what is left
//! are effects for the edges.

mod effect;
mod event;
mod reduce;
mod state;

pub use effect::NodeEffect;
pub use event::NodeEvent;
pub use reduce::reduce;
pub use state::{NodeSettings, NodeState};
