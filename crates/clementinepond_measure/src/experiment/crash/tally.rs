//! Counts of endpoint crashes and request outcomes.

use std::collections::BTreeMap;

/// Results of one run.
#[derive(Debug, Default)]
pub struct CrashTally {
    /// Number of endpoints that each poison request crashed, by request number.
    pub lost_by_poison: BTreeMap<u64, u64>,
    /// Number of times that a poison request was sent to a VM.
    pub poison_sends: u64,
    /// Number of spontaneous endpoint crashes.
    pub own_crashes: u64,
    /// Innocent requests that ended, whatever the outcome.
    pub innocents: u64,
    /// Innocent requests refused as poison.
    pub innocents_refused: u64,
    /// Innocent requests refused as crowded while they waited to run alone on
    /// an endpoint.
    pub innocents_overloaded: u64,
    /// Innocent requests that failed because they ran out of attempts or time.
    pub innocents_failed: u64,
    /// Distinct bodies of innocent requests that got a verdict.
    pub innocents_blocked: u64,
    /// Requests that had not ended although their deadline had passed.
    pub requests_unfinished: u64,
    /// Times from a run request that had to wait to its admission, in
    /// microseconds.
    pub waits: Vec<u64>,
    /// Number of messages that VMs sent to each other, including lost ones.
    pub messages: u64,
}

impl CrashTally {
    /// Returns the largest number of endpoints that one poison request crashed.
    #[must_use]
    pub fn max_endpoints_lost(&self) -> u64 {
        self.lost_by_poison.values().copied().max().unwrap_or(0)
    }

    /// Returns the mean number of endpoints that a poison request crashed.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn mean_endpoints_lost(&self) -> f64 {
        let lost: u64 = self.lost_by_poison.values().sum();
        lost as f64 / self.lost_by_poison.len().max(1) as f64
    }

    /// Returns a count as a share of the innocent requests.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn share(&self, count: u64) -> f64 {
        count as f64 / self.innocents.max(1) as f64
    }

    /// Returns a percentile of the waits of suspect requests, in milliseconds;
    /// 0 if there were none.
    #[must_use]
    pub fn wait_ms(&self, percent: usize) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let index = waits.len().saturating_sub(1) * percent / 100;
        #[expect(clippy::cast_precision_loss, reason = "waits are below an hour")]
        let wait = waits.get(index).map_or(0.0, |&wait| wait as f64 / 1_000.0);
        wait
    }
}
