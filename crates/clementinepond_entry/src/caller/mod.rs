//! Serving of callers: connections, requests and answers.

mod admission;
mod answer_body;
mod answer_memory;
mod connection;
mod copy_wait;
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

pub(crate) use answer_memory::AnswerMemory;
pub(crate) use connection::{StopStages, serve_callers};
pub(crate) use crash_probe::LostRuns;
pub(crate) use readiness::{serve_metrics, serve_readiness};
