//! The one reducer of a VM.
//!
//! Every event of a VM enters here and goes to the part that it concerns;
//! what one part asks of another is carried over at once, and what is left
//! are effects for the edges.

mod claim;
mod configuration;
mod crash;
mod demand;
mod effect;
mod event;
mod limit;
mod message;
mod node_reducer;
mod plan;
mod reduce;
mod request;
mod roster;
mod settings;
mod state;

pub use demand::{DemandReport, DemandTable, ModelLoad};
pub use effect::NodeEffect;
pub use event::{EndpointObservation, FleetView, NodeEvent};
pub use message::PeerMessage;
pub use reduce::reduce;
pub use settings::NodeSettings;
pub use state::NodeState;
