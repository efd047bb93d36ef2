//! Open-loop load generator.
//!
//! Requests are sent at times drawn in advance from the seed, whether or not
//! earlier ones have ended, and latency is measured from the planned time. Each
//! answer is compared with the one that the stand-ins give to its request.

mod answer_check;
mod answer_reader;
mod latency_histogram;
mod load_options;
mod load_report;
mod load_run;
mod load_tally;
mod planned_request;

pub use latency_histogram::LatencySummary;
pub use load_options::{
    AnswerLength, LengthRange, LoadCaller, LoadForm, LoadOptions, LoadTarget, LoadWorkload,
};
pub use load_report::{CallerReport, LoadReport};
pub use load_run::run_load;
pub use planned_request::{PlannedRequest, plan_requests};
