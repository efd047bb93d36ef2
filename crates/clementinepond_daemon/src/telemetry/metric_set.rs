//! Metrics of a VM.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Metric instruments of a VM.
#[derive(Debug)]
pub(crate) struct MetricSet {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    first_token: Histogram<f64>,
    duration: Histogram<f64>,
    configuration_version: Gauge<u64>,
    peer_sent: Counter<u64>,
    peer_received: Counter<u64>,
    peer_dropped: Counter<u64>,
    platform_calls: Counter<u64>,
}

impl MetricSet {
    /// Creates the instruments and the registry that exports them.
    pub(crate) fn open() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("clementinepond");
        Ok(Self {
            requests: meter.u64_counter("clementinepond_requests").build(),
            refusals: meter.u64_counter("clementinepond_refusals").build(),
            first_token: meter
                .f64_histogram("clementinepond_first_token_seconds")
                .build(),
            duration: meter
                .f64_histogram("clementinepond_request_seconds")
                .build(),
            peer_sent: meter.u64_counter("clementinepond_peer_sent_bytes").build(),
            peer_received: meter
                .u64_counter("clementinepond_peer_received_bytes")
                .build(),
            peer_dropped: meter
                .u64_counter("clementinepond_peer_dropped_messages")
                .build(),
            platform_calls: meter.u64_counter("clementinepond_platform_calls").build(),
            configuration_version: meter
                .u64_gauge("clementinepond_configuration_version")
                .build(),
            registry,
            _provider: provider,
        })
    }

    pub(crate) fn record_end(&self, outcome: &'static str, seconds: f64) {
        self.requests.add(1, &[KeyValue::new("outcome", outcome)]);
        self.duration.record(seconds, &[]);
    }

    pub(crate) fn record_refusal(&self, code: &'static str) {
        self.refusals.add(1, &[KeyValue::new("code", code)]);
    }

    pub(crate) fn record_first_token(&self, seconds: f64) {
        self.first_token.record(seconds, &[]);
    }

    pub(crate) fn record_configuration(&self, version: u64) {
        self.configuration_version.record(version, &[]);
    }

    pub(crate) fn record_peer_sent(&self, bytes: usize) {
        self.peer_sent.add(bytes as u64, &[]);
    }

    pub(crate) fn record_peer_received(&self, bytes: usize) {
        self.peer_received.add(bytes as u64, &[]);
    }

    pub(crate) fn record_peer_dropped(&self) {
        self.peer_dropped.add(1, &[]);
    }

    pub(crate) fn record_platform_call(&self, call: &'static str) {
        self.platform_calls.add(1, &[KeyValue::new("call", call)]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut buffer = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut buffer) {
            log::warn!("event=metrics_failed error=\"{error}\"");
        }
        String::from_utf8_lossy(&buffer).into_owned()
    }
}
