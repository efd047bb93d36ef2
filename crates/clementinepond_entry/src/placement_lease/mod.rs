//! Placement lease and the orders that its holder sends.

mod lease_task;
mod order_task;

pub(crate) use lease_task::{release_lease, run_lease};
pub(crate) use order_task::run_orders;
