//! State of the entry VM, shared by its tasks.

mod entry_node;
mod fleet_state;
mod peers;
mod pick;
mod placement;
mod run_update;
mod stats;
mod stream_origin;

pub(crate) use entry_node::EntryNode;
pub(crate) use pick::{PickQuery, PickedEndpoint, RefusalCause};
pub(crate) use stats::{LATENCY_BOUNDS_MS, NodeStats, increment};
