//! Spans stored in memory and sent to a collector.

use opentelemetry::Context;
use opentelemetry::trace::TracerProvider;
use opentelemetry_otlp::{Protocol, WithExportConfig};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, Span, SpanData, SpanProcessor};
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

/// Ended span, as returned by the administration API.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct SpanRecord {
    pub(crate) trace: Box<str>,
    pub(crate) span: Box<str>,
    pub(crate) parent: Box<str>,
    pub(crate) name: Box<str>,
    pub(crate) start_us: u128,
    pub(crate) duration_us: u128,
    pub(crate) attributes: BTreeMap<Box<str>, Box<str>>,
}

/// Most recent ended spans.
#[derive(Debug)]
pub(crate) struct TraceLog {
    limit: usize,
    spans: Mutex<VecDeque<SpanRecord>>,
}

/// Source of spans and its provider.
#[derive(Debug, Clone)]
pub(crate) struct TraceSource {
    pub(crate) tracer: SdkTracer,
    /// Provider, shut down at exit so that the last spans are sent to the collector.
    pub(crate) provider: SdkTracerProvider,
}

/// Number of spans stored per request, an upper bound on the average.
const SPANS_PER_TRACE: usize = 6;

impl TraceLog {
    pub(crate) fn new(traces: usize) -> Self {
        Self {
            limit: traces * SPANS_PER_TRACE,
            spans: Mutex::new(VecDeque::new()),
        }
    }

    pub(crate) fn records(&self) -> Vec<SpanRecord> {
        let spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans.iter().cloned().collect()
    }

    fn push(&self, record: SpanRecord) {
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans.push_back(record);
        while spans.len() > self.limit {
            spans.pop_front();
        }
    }
}

/// Span processor that adds ended spans to the log.
#[derive(Debug)]
struct LogProcessor {
    log: Arc<TraceLog>,
}

impl SpanProcessor for LogProcessor {
    fn on_start(&self, _span: &mut Span, _context: &Context) {}

    fn on_end(&self, span: SpanData) {
        self.log.push(record(&span));
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }
}

fn record(span: &SpanData) -> SpanRecord {
    let attributes = span
        .attributes
        .iter()
        .map(|pair| (pair.key.as_str().into(), pair.value.to_string().into()));
    SpanRecord {
        trace: span.span_context.trace_id().to_string().into(),
        span: span.span_context.span_id().to_string().into(),
        parent: span.parent_span_id.to_string().into(),
        name: span.name.as_ref().into(),
        start_us: micros_between(SystemTime::UNIX_EPOCH, span.start_time),
        duration_us: micros_between(span.start_time, span.end_time),
        attributes: attributes.collect(),
    }
}

fn micros_between(start: SystemTime, end: SystemTime) -> u128 {
    end.duration_since(start).unwrap_or_default().as_micros()
}

/// Creates the source of spans, which also exports to the collector if one is set.
pub(crate) fn open_traces(
    log: &Arc<TraceLog>,
    collector: Option<&str>,
) -> Result<TraceSource, opentelemetry_otlp::ExporterBuildError> {
    let processor = LogProcessor {
        log: Arc::clone(log),
    };
    let mut builder = SdkTracerProvider::builder().with_span_processor(processor);
    if let Some(address) = collector {
        let exporter = opentelemetry_otlp::SpanExporter::builder()
            .with_http()
            .with_protocol(Protocol::HttpBinary)
            .with_endpoint(format!("{address}/v1/traces"))
            .build()?;
        builder = builder.with_batch_exporter(exporter);
    }
    let provider = builder.build();
    Ok(TraceSource {
        tracer: provider.tracer("clementinepond"),
        provider,
    })
}
