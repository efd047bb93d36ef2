//! Faults of an engine.

use crate::fault::FaultRate;
use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Faults that may be changed while the engine runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Texts in a prompt that crash the engine once the prompt runs.
    pub crash_markers: Vec<Box<str>>,
    /// Time from a crash to the next process; none to stay down.
    pub down_for: Option<TimeSpan>,
    /// Connections broken before the body is read.
    pub resets_before_read: FaultRate,
    /// Connections broken after the body was read, before anything ran.
    pub resets_after_read: FaultRate,
    /// Connections broken after the request ran to its end.
    pub resets_after_run: FaultRate,
    /// Requests refused with `x-not-run`.
    pub refusals: FaultRate,
    /// Requests whose answer begins late.
    pub late_answers: FaultRate,
    /// Time by which a late answer is late.
    pub late_by: TimeSpan,
    /// Requests that run slowly.
    pub slow_answers: FaultRate,
    /// Time by which each token of a slow answer comes later.
    pub slow_token_time: TimeSpan,
    /// Answers that are those of another request from the start.
    pub crossed_answers: FaultRate,
    /// Streams that go on with chunks of another request.
    pub crossed_streams: FaultRate,
    /// Streams that break off.
    pub truncated_streams: FaultRate,
    /// Tokens after which a truncated or crossed stream turns.
    pub turn_after_tokens: u32,
    /// Whether a truncated stream ends like a whole one, without `[DONE]`.
    pub truncated_cleanly: bool,
    /// Orders that are lost before they take effect.
    pub lost_orders: FaultRate,
    /// Orders whose answer is lost after they were accepted.
    pub lost_order_answers: FaultRate,
    /// Reports whose answer is lost.
    pub lost_reports: FaultRate,
    /// Cache events that are never shown.
    pub lost_cache_events: FaultRate,
}

impl Default for EngineFaults {
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
            slow_answers: FaultRate::default(),
            slow_token_time: TimeSpan::from_millis(50),
            crossed_answers: FaultRate::default(),
            crossed_streams: FaultRate::default(),
            truncated_streams: FaultRate::default(),
            turn_after_tokens: 2,
            truncated_cleanly: false,
            lost_orders: FaultRate::default(),
            lost_order_answers: FaultRate::default(),
            lost_reports: FaultRate::default(),
            lost_cache_events: FaultRate::default(),
        }
    }
}
