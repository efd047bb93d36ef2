//! Spans and measurements of a request.

use super::{MetricSet, TraceSource};
use clementinepond_decide::request::{RequestEnd, RequestProfile};
use clementinepond_decide::route::RouteTarget;
use clementinepond_types::RequestId;
use opentelemetry::trace::{Span, SpanKind, TraceContextExt, Tracer};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::trace::SdkTracer;
use std::sync::Arc;
use std::time::Instant;

/// Starts spans below the root span of a request.
#[derive(Debug, Clone)]
pub(crate) struct SpanRecorder {
    tracer: SdkTracer,
    context: Context,
}

impl SpanRecorder {
    /// Starts a span that ends when it is dropped.
    pub(crate) fn start(
        &self,
        name: &'static str,
        attributes: Vec<KeyValue>,
    ) -> opentelemetry_sdk::trace::Span {
        let builder = self
            .tracer
            .span_builder(name)
            .with_kind(SpanKind::Client)
            .with_attributes(attributes);
        self.tracer.build_with_context(builder, &self.context)
    }
}

/// Root span and measurements of a request.
#[derive(Debug)]
pub(crate) struct RequestTrace {
    recorder: SpanRecorder,
    metrics: Arc<MetricSet>,
    request_id: RequestId,
    start: Instant,
    is_ended: bool,
}

impl RequestTrace {
    pub(crate) fn start(
        source: &TraceSource,
        metrics: &Arc<MetricSet>,
        request_id: &RequestId,
        profile: &RequestProfile,
    ) -> Self {
        let account = profile.account.as_ref();
        let account = account.map_or("", |account| account.as_str()).to_owned();
        let attributes = vec![
            KeyValue::new("request", request_id.to_string()),
            KeyValue::new("account", account),
            KeyValue::new("target", target_name(&profile.target)),
        ];
        let span = source
            .tracer
            .span_builder("request")
            .with_kind(SpanKind::Server)
            .with_attributes(attributes)
            .start(&source.tracer);
        Self {
            recorder: SpanRecorder {
                tracer: source.tracer.clone(),
                context: Context::new().with_span(span),
            },
            metrics: Arc::clone(metrics),
            request_id: request_id.clone(),
            start: Instant::now(),
            is_ended: false,
        }
    }

    pub(crate) fn spans(&self) -> SpanRecorder {
        self.recorder.clone()
    }

    pub(crate) fn record_first_token(&self) {
        self.recorder
            .context
            .span()
            .add_event("first_token", Vec::new());
        self.metrics
            .record_first_token(self.start.elapsed().as_secs_f64());
    }

    /// Ends the root span and records the outcome; later calls have no effect.
    pub(crate) fn end(&mut self, end: &RequestEnd) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        let outcome = end_name(end);
        let span = self.recorder.context.span();
        span.set_attribute(KeyValue::new("outcome", outcome));
        span.end();
        let elapsed = self.start.elapsed();
        self.metrics.record_end(outcome, elapsed.as_secs_f64());
        log::info!(
            "event=request_ended request={} outcome={outcome} reason={} duration_us={}",
            self.request_id,
            end_reason(end),
            elapsed.as_micros()
        );
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        self.end(&RequestEnd::Abandoned);
    }
}

fn target_name(target: &RouteTarget) -> String {
    match target {
        RouteTarget::Model { model, adapter } => adapter
            .as_ref()
            .map_or_else(|| model.to_string(), ToString::to_string),
        RouteTarget::Service(route) => route.to_string(),
    }
}

const fn end_name(end: &RequestEnd) -> &'static str {
    match end {
        RequestEnd::Complete { .. } => "complete",
        RequestEnd::Rejected => "rejected",
        RequestEnd::Replayed { .. } => "replayed",
        RequestEnd::NotRun { .. } => "not_run",
        RequestEnd::Unknown { .. } => "unknown",
        RequestEnd::Abandoned => "abandoned",
    }
}

fn end_reason(end: &RequestEnd) -> String {
    match end {
        RequestEnd::NotRun { reason, .. } | RequestEnd::Unknown { reason } => reason.to_string(),
        _ => "none".to_owned(),
    }
}

/// Records the outcome of a span and ends it.
pub(crate) fn end_span(span: &mut opentelemetry_sdk::trace::Span, outcome: &'static str) {
    span.set_attribute(KeyValue::new("outcome", outcome));
    span.end();
}
