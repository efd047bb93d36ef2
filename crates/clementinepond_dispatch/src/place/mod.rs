//! Placement of models and adapters on the engines of a service.
//!
//! Answers demand that moves between models within seconds: the busy models
//! get as many copies as memory allows, every model keeps one. `choose`
//! decides which copy to add and which to evict; `planner` turns that into
//! orders, each of which is safe for any outcome of the pending ones.

mod choose;
mod demand;
mod order;
mod order_book;
mod planner;
mod view;

pub use choose::{PlacementMove, choose_move};
pub use demand::{DemandMeter, work_of};
pub use order::{EndpointOrder, EndpointStatus, OrderReply, SentOrder};
pub use order_book::{AdapterPhase, HeldAdapter, OrderBook};
pub use planner::{PlacementPlanner, PlannerEffect, PlannerInput, adapter_key};
pub use view::{EngineView, ModelView, PlacementView};
