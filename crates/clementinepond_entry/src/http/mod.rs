//! HTTP client connections and small calls.

mod call;
mod connect;

pub(crate) use call::{CallFailure, CallReply, HttpClient};
pub(crate) use connect::{
    ConnectFailure, Connection, open_connection, open_endpoint_connection, tune_caller_socket,
    tune_socket,
};
