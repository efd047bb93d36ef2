//! Faults that a service injects.

use crate::fault::FaultRate;
use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Faults of a service, which can be changed while it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Texts that crash the service when the body of a request that runs contains
    /// one.
    pub crash_markers: Vec<Box<str>>,
    /// Time from such a crash until the service listens again; none to stay down
    /// until [`ServiceServer::restart`](super::ServiceServer::restart).
    pub down_for: Option<TimeSpan>,
    /// Requests whose connection is aborted before the body is read.
    pub resets_before_read: FaultRate,
    /// Requests whose connection is aborted after the body was read and before
    /// they run.
    pub resets_after_read: FaultRate,
    /// Requests whose connection is aborted after they ran.
    pub resets_after_run: FaultRate,
    /// Requests refused with 503 and `x-not-run` before they run.
    pub refusals: FaultRate,
    /// Requests whose answer is delayed by `late_by`.
    pub late_answers: FaultRate,
    /// Delay of a late answer.
    pub late_by: TimeSpan,
    /// Requests that get the answer of another request.
    pub crossed_answers: FaultRate,
    /// Report calls whose answer is lost.
    pub lost_reports: FaultRate,
}

impl Default for ServiceFaults {
    fn default() -> Self {
        Self {
            crash_markers: Vec::new(),
            down_for: Some(TimeSpan::from_millis(200)),
            resets_before_read: FaultRate::default(),
            resets_after_read: FaultRate::default(),
            resets_after_run: FaultRate::default(),
            refusals: FaultRate::default(),
            late_answers: FaultRate::default(),
            late_by: TimeSpan::from_secs(1),
            crossed_answers: FaultRate::default(),
            lost_reports: FaultRate::default(),
        }
    }
}
