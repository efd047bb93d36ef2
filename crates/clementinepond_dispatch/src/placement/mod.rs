//! Placement of models and adapters on the engines of a service.
//!
//! Demand shifts between models within seconds. Busy models get as many copies as
//! memory allows, and no model's last copy is evicted. `choose` decides which copy to
//! load and which to evict. `planner` turns these moves into orders to endpoints; each
//! order is safe for any outcome of the pending ones.

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
