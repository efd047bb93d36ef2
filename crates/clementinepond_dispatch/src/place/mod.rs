//! Placement of models and adapters on the engines of a service.
//!
//! Answers demand that moves between models within seconds: the busy models
//! get as many copies as memory allows, every model keeps one. `choose`
//! decides which copy to add and which to evict; `planner` turns that into
//! orders, each of which is safe for any outcome of the pending ones.

mod choose;
mod demand;
mod order;
mod order_tracker;
mod planner;
mod view;

pub use choose::{PlacementMove, choose_move};
pub use demand::{DemandMeter, utilization};
pub use order::{EndpointOrder, EndpointStatus, OrderReply, SentOrder};
pub use order_tracker::{AdapterPhase, HeldAdapter, OrderTracker};
pub use planner::{PlacementPlanner, PlannerEffect, PlannerInput, adapter_hash};
pub use view::{EngineView, ModelView, PlacementView};
