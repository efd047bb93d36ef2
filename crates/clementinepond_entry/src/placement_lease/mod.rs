//! The placement placement_lease: its lease and the orders given under it.

mod lease_task;
mod order_task;

pub(crate) use lease_task::{release_lease, run_lease};
pub(crate) use order_task::run_orders;
