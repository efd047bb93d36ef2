//! The task that runs the reducer and carries out its effects.

mod call;
mod handle;
mod input;
mod task;

pub(crate) use call::{CallBody, CallKind, CallSignal, CallerCall};
pub(crate) use handle::NodeHandle;
pub(crate) use input::{NodeInput, NodeStatus};
pub(crate) use task::{NodeEdges, run_node};
