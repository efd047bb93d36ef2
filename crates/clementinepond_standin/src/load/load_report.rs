//! Results of a load run.

use super::latency_histogram::LatencySummary;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Results of one caller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerReport {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of complete and correct answers.
    pub answered: u64,
    /// Number of generated tokens in complete and correct answers.
    pub tokens: u64,
    /// Number of answers whose status is not 2xx.
    pub refused: u64,
}

/// Results of a load run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests in the plan.
    pub planned: u64,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests skipped because too many were in flight.
    pub left_out: u64,
    /// Number of complete and correct answers.
    pub answered: u64,
    /// Number of answers that differ from the expected one.
    pub wrong: u64,
    /// Number of answers that began and are not complete: the connection broke,
    /// or the token usage or, in a stream, `[DONE]` is missing.
    pub incomplete: u64,
    /// Number of requests that failed before an answer began, including those
    /// that could not be built.
    pub broken: u64,
    /// Number of requests without a complete answer before the timeout.
    pub timed_out: u64,
    /// Number of requests by the status of their answer.
    pub by_status: BTreeMap<u16, u64>,
    /// Number of requests by the header `clementinepond-outcome` of their answer.
    pub by_outcome: BTreeMap<Box<str>, u64>,
    /// Results by caller.
    pub by_caller: BTreeMap<Box<str>, CallerReport>,
    /// Time from the planned send time to the first token of a stream; streams
    /// that time out are not included.
    pub first_token: LatencySummary,
    /// Time between two consecutive tokens of a stream; streams that time out
    /// are not included.
    pub between_tokens: LatencySummary,
    /// Time from the planned send time to the end of a complete and correct
    /// answer.
    pub whole: LatencySummary,
    /// Delay between the planned and the actual send time.
    pub send_lag: LatencySummary,
}
