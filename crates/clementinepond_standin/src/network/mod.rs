//! Listening, restarting and the parts of a call that all stand-ins share.

mod acceptor;
mod call;
mod listen;
mod standin_error;

pub(crate) use call::{HttpCall, abort_connection, answer_json, query_number, read_call};
pub(crate) use listen::{ListenTask, RestartOrder};
pub use standin_error::StandinError;
