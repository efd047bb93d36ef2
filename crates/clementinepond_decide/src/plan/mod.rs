//! Placement: which models and adapters each endpoint holds.
//!
//! One VM of a data centre holds the *plan lease*, an object of kind `plan` on the
//! platform. The object's fencing number goes with every order and increases with
//! each acquisition. The holder writes each load and unload order into the object
//! before it sends the order, so that the next holder knows every one that may still
//! take effect.
//!
//! For each endpoint the holder tracks the *possible memory*, an upper bound of the
//! memory in use: what the endpoint reported plus every load that may still take
//! effect. The reply to an order is no proof of its outcome, since a copy of the
//! order may still be in transit. A reservation therefore ends only after the last
//! time at which the order could arrive, by a report that shows it as completed or
//! that names an order issued after that time, a *barrier*.
//!
//! The planner is a pure function from the state of all endpoints to moves.

mod catalogue;
mod compute_load;
mod demand;
mod draining;
mod effect;
mod endpoint_entry;
mod event;
mod lease;
mod ledger;
mod object;
mod order;
mod periodic;
pub mod planner;
mod planning;
mod platform_reply;
mod reduce;
mod report;
mod settings;
mod state;
mod status;
mod writing;

pub use catalogue::{
    AdapterSpec, ExceptionRule, ModelSpec, PlacementCatalogue, PlacementException, StoreShare,
};
pub use compute_load::ComputeLoad;
pub use demand::DemandForecast;
pub use effect::PlanEffect;
pub use endpoint_entry::EndpointEntry;
pub use event::{EndpointSpec, OrderReply, PlanEvent};
pub use lease::{
    Acquiring, Follower, Holding, LeasePhase, LeaseTerm, PendingWrite, PlanLease, SeenObject,
    Waiting,
};
pub use ledger::{EndpointLedger, PossibleOrder};
pub use object::{OrderIntent, PlacementGoal, PlanObject, WriteId};
pub use order::{EndpointAction, EndpointRole, OrderNumber};
pub use reduce::reduce;
pub use report::{
    AdapterReport, EndpointReport, HoldingKey, Incarnation, ModelReport, ModelState, ModelVersion,
    ReportNumber,
};
pub use settings::{PlanMutation, PlanSettings};
pub use state::PlanState;
pub use status::{PendingOrder, PlanStatus, RecentMove};
