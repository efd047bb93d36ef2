//! Requests that crash the endpoints that run them.
//!
//! A request is identified by a fingerprint of its path, account and body, since a
//! caller retries it under a new request ID. After a few crashes it is no longer sent
//! to any endpoint.

use clementinepond_types::{LocalTime, TimeSpan};
use fnv::FnvHashMap;

/// Number of crashes up to which a request is still sent; the next crash blocks it.
const CRASH_LIMIT: u32 = 2;
/// Time since the last crash for which a request stays blocked.
const CRASH_RETENTION: TimeSpan = TimeSpan::from_secs(120);
/// Number of known fingerprints from which each new crash first removes the expired
/// ones.
const CLEANUP_MIN_FINGERPRINTS: usize = 4_096;

/// Crash counts by request fingerprint.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    /// Number of crashes and time of the last one, by fingerprint.
    crashes: FnvHashMap<u64, (u32, LocalTime)>,
}

impl CrashSuspects {
    /// Counts a crash; returns the number of crashes counted for the request.
    pub fn record_crash(&mut self, fingerprint: u64, now: LocalTime) -> u32 {
        if self.crashes.len() >= CLEANUP_MIN_FINGERPRINTS {
            self.crashes
                .retain(|_, (_, at)| now.since(*at) < CRASH_RETENTION);
        }
        let entry = self.crashes.entry(fingerprint).or_insert((0, now));
        entry.0 += 1;
        entry.1 = now;
        entry.0
    }

    /// Returns whether a request is blocked.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: u64, now: LocalTime) -> bool {
        self.crashes
            .get(&fingerprint)
            .is_some_and(|(count, at)| *count > CRASH_LIMIT && now.since(*at) < CRASH_RETENTION)
    }
}
