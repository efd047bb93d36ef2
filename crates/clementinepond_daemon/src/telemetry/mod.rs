//! Metrics and traces.

mod metric_set;
mod request_trace;
mod trace_log;

pub(crate) use metric_set::MetricSet;
pub(crate) use request_trace::{RequestTrace, SpanRecorder, end_span};
pub(crate) use trace_log::{TraceLog, TraceSource, open_traces};
