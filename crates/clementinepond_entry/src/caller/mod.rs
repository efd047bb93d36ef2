//! Serving of callers: connections, requests and answers.

mod admission;
mod answer_body;
mod connection;
mod crash_probe;
mod endpoint_search;
mod event_reader;
mod local_answer;
mod readiness;
mod request_end;
mod send_outcome;
mod serve_request;
mod stream;
mod unary;

pub(crate) use connection::{StopStages, serve_callers};
pub(crate) use readiness::{serve_metrics, serve_readiness};
