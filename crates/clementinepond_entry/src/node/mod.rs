//! State of one entry VM, shared by its tasks.

mod contact;
mod entry_node;
mod fleet_state;
mod pick;
mod placement;
mod run_news;
mod stats;

pub(crate) use entry_node::EntryNode;
pub(crate) use pick::{PickQuery, PickedEndpoint, RefusalCause};
pub(crate) use stats::{LATENCY_BOUNDS_MS, NodeStats, increment};
