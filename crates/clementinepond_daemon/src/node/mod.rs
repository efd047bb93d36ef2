//! Task that runs the node reducer and carries out its effects.

mod call;
mod effects;
mod handle;
mod input;
mod status;
mod task;

pub(crate) use call::{AnswerMessage, CallBody, CallKind, CallerCall};
pub(crate) use handle::NodeHandle;
pub(crate) use input::NodeInput;
pub(crate) use status::NodeStatus;
pub(crate) use task::{NodeIo, WithdrawalAnswer, run_node};
