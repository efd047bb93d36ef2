//! Listening, restarting and the parts of a call that all stand-ins share.

mod acceptor;
mod call;
mod hold;
mod incarnation;
mod listen;
mod standin_error;

pub(crate) use call::{
    HttpCall, abort_connection, answer_json, query_number, read_call, set_header,
};
pub(crate) use hold::hold;
pub(crate) use incarnation::first_incarnation;
pub(crate) use listen::{ListenTask, PENDING_RESTARTS, RestartOrder};
pub use standin_error::StandinError;
