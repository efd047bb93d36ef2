//! Requests: the life cycle of one request, from caller to answer.
//!
//! A request passes the crash guard, is admitted within its account's rate,
//! is claimed if it may run only once, and is dispatched. Each stage is a type
//! of its own, so that a request cannot be dispatched before it is admitted.
//! Every request ends in one of three ways: a complete answer, *not run*
//! (nothing left for an endpoint, or the endpoint proved that it ran
//! nothing), or *unknown*.

mod effect;
mod event;
mod profile;
mod reduce;
mod retry_budget;
mod stage;
mod state;

pub use effect::{DispatchOrder, RequestEffect};
pub use event::{AttemptOutcome, RequestEvent};
pub use profile::{AttemptNumber, IdempotencyKey, RequestProfile};
pub use reduce::reduce;
pub use retry_budget::RetryBudget;
pub use stage::{EndReason, RequestEnd, RequestStage};
pub use state::{RequestPolicy, RequestTable};
