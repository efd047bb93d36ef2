//! Metrics counters of this VM.

use std::cell::Cell;

/// Upper bounds of the latency histogram's buckets, in milliseconds.
pub(crate) const LATENCY_BOUNDS_MS: [u64; 10] =
    [10, 25, 50, 100, 250, 500, 1_000, 2_500, 5_000, 10_000];

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct NodeStats {
    /// Requests whose answer from an endpoint was relayed, 5xx answers excepted.
    pub(crate) answered: Cell<u64>,
    /// Requests that may have run without a usable answer.
    pub(crate) failed: Cell<u64>,
    /// Requests that this VM answered itself without running them.
    pub(crate) refused: Cell<u64>,
    /// Retries charged to the retry budget.
    pub(crate) retries: Cell<u64>,
    /// Requests sent through peers.
    pub(crate) forwarded: Cell<u64>,
    /// Callers that disconnected before their answer started.
    pub(crate) caller_left: Cell<u64>,
    /// Calls of the store by the watches, the lease and the configuration read.
    pub(crate) store_calls: Cell<u64>,
    /// Origins of streams that were not kept since there are too many.
    pub(crate) origins_dropped: Cell<u64>,
    /// Suspects that became blocked.
    pub(crate) suspects_blocked: Cell<u64>,
    /// Orders sent to endpoints.
    pub(crate) orders: Cell<u64>,
    /// Time from a stream's arrival to its first chunk.
    pub(crate) first_byte: LatencyHistogram,
}

/// Latency histogram with fixed buckets.
#[derive(Debug, Default)]
pub(crate) struct LatencyHistogram {
    /// Counts by bucket; the last one has no upper bound.
    pub(crate) buckets: [Cell<u64>; LATENCY_BOUNDS_MS.len() + 1],
    pub(crate) sum_ms: Cell<u64>,
}

impl LatencyHistogram {
    pub(crate) fn record(&self, millis: u64) {
        let index = LATENCY_BOUNDS_MS.partition_point(|bound| *bound < millis);
        increment(&self.buckets[index]);
        self.sum_ms.set(self.sum_ms.get() + millis);
    }
}

/// Adds one to a counter.
pub(crate) fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
