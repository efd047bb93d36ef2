//! The task that runs the reducer and carries out its effects.

mod call;
mod carry_out;
mod handle;
mod input;
mod status;
mod task;

pub(crate) use call::{CallBody, CallKind, CallSignal, CallerCall};
pub(crate) use handle::NodeHandle;
pub(crate) use input::NodeInput;
pub(crate) use status::NodeStatus;
pub(crate) use task::{NodeEdges, WithdrawalAnswer, run_node};
