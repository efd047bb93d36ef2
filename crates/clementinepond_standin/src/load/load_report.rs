//! What a load run found.

use super::latency_histogram::LatencySummary;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Counts of one caller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerReport {
    /// Requests sent.
    pub sent: u64,
    /// Whole and right answers.
    pub answered: u64,
    /// Generated tokens in whole and right answers.
    pub tokens: u64,
    /// Answers with another status than 2xx.
    pub refused: u64,
}

/// Outcome of a load run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the plan.
    pub planned: u64,
    /// Requests sent.
    pub sent: u64,
    /// Requests left out because too many were in flight.
    pub left_out: u64,
    /// Whole and right answers.
    pub answered: u64,
    /// Answers that differ from the expected one.
    pub wrong: u64,
    /// Answers that broke off after they began.
    pub incomplete: u64,
    /// Requests whose connection broke before an answer began.
    pub broken: u64,
    /// Requests without a whole answer in time.
    pub timed_out: u64,
    /// Counts by status.
    pub by_status: BTreeMap<u16, u64>,
    /// Counts by the header `clementinepond-outcome`.
    pub by_outcome: BTreeMap<Box<str>, u64>,
    /// Counts by caller.
    pub by_caller: BTreeMap<Box<str>, CallerReport>,
    /// Time from the planned moment to the first token of a stream.
    pub first_token: LatencySummary,
    /// Time between two tokens of a stream.
    pub between_tokens: LatencySummary,
    /// Time from the planned moment to the end of a whole answer.
    pub whole: LatencySummary,
    /// Time by which requests left later than planned.
    pub send_lag: LatencySummary,
}
