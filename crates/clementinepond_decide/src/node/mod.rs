//! The one reducer of a VM.
//!
//! Every event of a VM enters here and goes to the part that it concerns;
//! what one part asks of another is carried over at once, and what is left
//! are effects for the edges.

mod claim_part;
mod configuration_part;
mod crash_part;
mod demand;
mod effect;
mod event;
mod limit_part;
mod message;
mod plan_part;
mod reduce;
mod request_part;
mod roster_part;
mod run;
mod settings;
mod state;

pub use demand::{DemandReport, DemandTable, ModelLoad};
pub use effect::NodeEffect;
pub use event::{EndpointObservation, FleetView, NodeEvent};
pub use message::PeerMessage;
pub use reduce::reduce;
pub use settings::NodeSettings;
pub use state::NodeState;
