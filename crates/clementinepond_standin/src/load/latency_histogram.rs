//! Latency histogram and its percentiles.

use clementinepond_types::TimeSpan;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Largest latency that the histogram records, in microseconds (one hour);
/// larger ones count as this value.
const HIGHEST_MICROS: u64 = 3_600_000_000;
/// Number of significant decimal digits.
const PRECISION: u8 = 3;

/// Summary statistics of a latency.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Number of recorded latencies.
    pub count: u64,
    /// Mean latency.
    pub mean: TimeSpan,
    /// Median latency.
    pub p50: TimeSpan,
    /// 90th percentile.
    pub p90: TimeSpan,
    /// 95th percentile.
    pub p95: TimeSpan,
    /// 99th percentile.
    pub p99: TimeSpan,
    /// 99.9th percentile.
    pub p999: TimeSpan,
    /// Largest latency.
    pub max: TimeSpan,
}

/// Histogram of latencies, in microseconds.
#[derive(Debug)]
pub(super) struct LatencyHistogram {
    // Always present, as the bounds are valid constants; if absent, nothing is
    // recorded.
    histogram: Option<Histogram<u64>>,
}

impl LatencyHistogram {
    pub(super) fn new() -> Self {
        Self {
            histogram: Histogram::new_with_bounds(1, HIGHEST_MICROS, PRECISION).ok(),
        }
    }

    pub(super) fn record(&mut self, latency: TimeSpan) {
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(latency.micros().max(1));
        }
    }

    pub(super) fn summary(&self) -> LatencySummary {
        let Some(histogram) = &self.histogram else {
            return LatencySummary::default();
        };
        let at = |quantile| TimeSpan::from_micros(histogram.value_at_quantile(quantile));
        LatencySummary {
            count: histogram.len(),
            mean: TimeSpan::from_micros(histogram.mean() as u64),
            p50: at(0.5),
            p90: at(0.9),
            p95: at(0.95),
            p99: at(0.99),
            p999: at(0.999),
            max: TimeSpan::from_micros(histogram.max()),
        }
    }
}
