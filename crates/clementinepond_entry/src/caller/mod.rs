//! Callers: connections, requests, answers.

mod answer_body;
mod connection;
mod crash_probe;
mod event_reader;
mod gate;
mod readiness;
mod refusal;
mod relay;
mod request_end;
mod send_outcome;
mod serve_request;
mod stream;
mod unary;

pub(crate) use connection::{StopStages, serve_callers};
pub(crate) use readiness::{serve_metrics, serve_readiness};
