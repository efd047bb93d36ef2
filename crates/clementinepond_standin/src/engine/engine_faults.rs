//! Faults that an engine injects.

use crate::fault::FaultRate;
use clementinepond_types::TimeSpan;
use serde::{Deserialize, Serialize};

/// Faults of an engine, which can be changed while it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Texts that crash the engine when the prompt of a request that runs
    /// contains one.
    pub crash_markers: Vec<Box<str>>,
    /// Time from such a crash until the engine listens again; none to stay down
    /// until [`EngineServer::restart`](super::EngineServer::restart).
    pub down_for: Option<TimeSpan>,
    /// Calls under `/v1/` whose connection is aborted before the body is read.
    pub resets_before_read: FaultRate,
    /// Requests whose connection is aborted after the body was read and before
    /// they run.
    pub resets_after_read: FaultRate,
    /// Requests whose connection is aborted after they ran to completion and
    /// before any of the answer is sent.
    pub resets_after_run: FaultRate,
    /// Requests refused with 503 and `x-not-run` before they run.
    pub refusals: FaultRate,
    /// Requests whose first token is delayed by `late_by`.
    pub late_answers: FaultRate,
    /// Delay of a late answer.
    pub late_by: TimeSpan,
    /// Requests whose tokens are each delayed by `slow_token_time`.
    pub slow_answers: FaultRate,
    /// Additional time per token of a slow answer.
    pub slow_token_time: TimeSpan,
    /// Requests that get the answer of another request.
    pub crossed_answers: FaultRate,
    /// Requests whose stream continues with chunks of another answer after
    /// `turn_after_tokens`; without effect on answers that are not streamed.
    pub crossed_streams: FaultRate,
    /// Requests whose stream ends early after `turn_after_tokens`; without effect
    /// on answers that are not streamed.
    pub truncated_streams: FaultRate,
    /// Number of tokens sent before a stream is truncated or crossed; shorter
    /// answers are not affected.
    pub turn_after_tokens: u32,
    /// Whether a truncated stream closes the body normally, without `[DONE]`,
    /// instead of aborting the connection.
    pub truncated_cleanly: bool,
    /// Orders whose connection is aborted before they are accepted.
    pub lost_orders: FaultRate,
    /// Orders whose answer, acceptance or refusal, is lost.
    pub lost_order_answers: FaultRate,
    /// Report calls whose answer is lost.
    pub lost_reports: FaultRate,
    /// Cache events that are dropped and leave a gap in the sequence.
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
