//! What happened to endpoints and requests.

use std::collections::BTreeMap;

/// Counts of one run.
#[derive(Debug, Default)]
pub struct CrashTally {
    /// Endpoints that each poison request took.
    pub lost_by_poison: BTreeMap<u64, u64>,
    /// Copies of poison requests that reached a VM.
    pub poison_sends: u64,
    /// Endpoints that crashed by themselves.
    pub own_crashes: u64,
    /// Innocent requests that ended.
    pub innocents: u64,
    /// Innocent requests refused as poison.
    pub innocents_refused: u64,
    /// Innocent requests given up while they waited for an endpoint of their own.
    pub innocents_crowded: u64,
    /// Innocent requests whose every run was cut off.
    pub innocents_failed: u64,
    /// Innocent requests whose bodies were condemned.
    pub innocents_condemned: u64,
    /// Requests without an end.
    pub requests_without_end: u64,
    /// Waits of suspects for a permit, in microseconds.
    pub waits: Vec<u64>,
    /// Messages between VMs.
    pub messages: u64,
}

impl CrashTally {
    /// Returns the most endpoints that one poison request took.
    #[must_use]
    pub fn worst_poison(&self) -> u64 {
        self.lost_by_poison.values().copied().max().unwrap_or(0)
    }

    /// Returns the mean number of endpoints that a poison request took.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn mean_poison(&self) -> f64 {
        let lost: u64 = self.lost_by_poison.values().sum();
        lost as f64 / self.lost_by_poison.len().max(1) as f64
    }

    /// Returns a count as a share of the innocent requests.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn share(&self, count: u64) -> f64 {
        count as f64 / self.innocents.max(1) as f64
    }

    /// Returns a quantile of the suspects' waits, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self, percent: usize) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        let place = waits.len().saturating_sub(1) * percent / 100;
        #[expect(clippy::cast_precision_loss, reason = "waits are below an hour")]
        let wait = waits.get(place).map_or(0.0, |&wait| wait as f64 / 1_000.0);
        wait
    }
}
