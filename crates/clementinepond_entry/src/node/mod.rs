//! State of the entry VM, shared by its tasks.

mod crash_guard;
mod entry_node;
mod fleet_state;
mod message_age;
mod outcome;
mod peers;
mod pick;
mod placement;
mod reach;
mod rejection;
mod run_update;
mod send_permit;
mod stats;
mod stream_origin;

pub(crate) use crash_guard::TrialGuard;
pub(crate) use entry_node::{EntryNode, NodeState};
pub(crate) use pick::{EndpointIncarnation, PickQuery, PickedEndpoint, RefusalCause};
pub(crate) use reach::ReachVerdict;
pub(crate) use stats::{LATENCY_BOUNDS_MS, NodeStats, increment};
