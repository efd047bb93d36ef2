//! Faults of a plain service.

use crate::fault::FaultRate;
use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Faults that may be changed while the service runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Texts in a body that crash the service once the request runs.
    pub crash_markers: Vec<Box<str>>,
    /// Time from a crash to the next life; none to stay down.
    pub down_for: Option<TimeSpan>,
    /// Connections broken before the body is read.
    pub resets_before_read: FaultRate,
    /// Connections broken after the body was read, before anything ran.
    pub resets_after_read: FaultRate,
    /// Connections broken after the request ran.
    pub resets_after_run: FaultRate,
    /// Requests refused with `x-not-run`.
    pub refusals: FaultRate,
    /// Requests whose answer comes late.
    pub late_answers: FaultRate,
    /// Time by which a late answer is late.
    pub late_by: TimeSpan,
    /// Answers that are those of another request.
    pub crossed_answers: FaultRate,
    /// Reports whose answer is lost.
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
