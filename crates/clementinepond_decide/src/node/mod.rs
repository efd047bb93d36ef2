//! Top-level reducer of a VM.
//!
//! Every event of a VM enters here and is passed to the reducer that handles
//! it. Effects that are meant for another reducer become events of that reducer
//! within the same call; all others are returned to the I/O layer.

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
