//! When and where a VM fetches a configuration that a peer already has.

use clementinepond_types::{LocalTime, TimeSpan};

/// Time for a watcher's own watch to deliver the configuration before a peer is asked.
const OWN_WATCH_DELAY: TimeSpan = TimeSpan::from_millis(200);
/// Time over which the VMs spread their fetches; doubled by each further fetch in a row
/// that leaves the VM behind.
const FETCH_SPREAD: TimeSpan = TimeSpan::from_millis(150);
/// Maximum number of times that the spread is doubled.
const MAX_DOUBLINGS: u32 = 4;
/// Minimum time between two fetches, so that versions in quick succession are fetched
/// together.
const FETCH_INTERVAL: TimeSpan = TimeSpan::from_millis(700);
/// Time after a failed read of the store in which only peers are asked, as long as they
/// serve the configuration.
const STORE_AVOIDANCE: TimeSpan = TimeSpan::from_secs(2);

/// Schedule of a VM's fetches of the configuration.
#[derive(Debug, Default)]
pub struct FetchSchedule {
    /// Number of fetches in a row that left the VM behind.
    failures: u32,
    /// Earliest time of the next fetch.
    next_fetch_at: LocalTime,
    /// Time until which the store is not asked.
    store_avoided_until: LocalTime,
}

impl FetchSchedule {
    /// Returns the delay before the next fetch; `draw` is a random number between 0 and
    /// 1,000.
    #[must_use]
    pub fn delay(&self, is_watcher: bool, draw: u64, now: LocalTime) -> TimeSpan {
        let own_delay = if is_watcher {
            OWN_WATCH_DELAY
        } else {
            TimeSpan::ZERO
        };
        let spread = FETCH_SPREAD.fraction(1 << self.failures, 1);
        let delay = own_delay + spread.fraction(draw, 1_000);
        delay.max(now.until(self.next_fetch_at))
    }

    /// Starts a fetch; returns whether it asks the store, which has more bandwidth than a
    /// peer. Watchers do so by their watch.
    pub fn start(&mut self, is_watcher: bool, now: LocalTime) -> bool {
        self.next_fetch_at = now + FETCH_INTERVAL;
        !is_watcher && now >= self.store_avoided_until
    }

    /// Records that the store did not answer the fetch.
    pub fn record_store_failure(&mut self, now: LocalTime) {
        self.store_avoided_until = now + STORE_AVOIDANCE;
    }

    /// Ends a fetch; `is_served` tells whether a peer served it, `is_newer` whether the VM
    /// has a newer configuration than before.
    pub fn finish(&mut self, is_served: bool, is_newer: bool, now: LocalTime) {
        if !is_served {
            self.store_avoided_until = now;
        }
        self.failures = if is_newer {
            0
        } else {
            (self.failures + 1).min(MAX_DOUBLINGS)
        };
    }

    /// Records that no peer is ahead.
    pub fn record_current(&mut self) {
        self.failures = 0;
    }
}
