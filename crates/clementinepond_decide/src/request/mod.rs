//! Life cycle of one request, from its arrival to its end.
//!
//! A request is admitted within its account's rate limit, is claimed if it has
//! an idempotency key and is not repeatable, and is dispatched; the node
//! consults the crash guard before each attempt. Each stage is a type of its
//! own, so that a request cannot be dispatched before it is admitted.
//!
//! For the caller, an end means one of three things: an answer (from this run,
//! from the record of an earlier one, or the endpoint's own error), *not run*
//! (no byte was sent to an endpoint, or the endpoint proved that it ran
//! nothing), or *unknown*. A caller that disconnects ends its request without
//! an answer.

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
