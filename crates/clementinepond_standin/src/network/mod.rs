//! Listening, restarts and HTTP helpers shared by all stand-ins.

mod acceptor;
mod call;
mod incarnation;
mod listen;
mod lock;
mod standin_error;

pub(crate) use call::{
    HttpCall, abort_connection, answer_json, query_number, read_call, set_header,
};
pub(crate) use incarnation::first_incarnation;
pub(crate) use listen::{ListenTask, RESTART_QUEUE_CAPACITY, RestartRequest};
pub(crate) use lock::lock;
pub use standin_error::StandinError;
