//! Requests that crash the endpoints that run them.
//!
//! A request is known by a fingerprint of its path, account and body, since a
//! caller sends it again under a new identity. After a few crashes it is no
//! longer sent anywhere.

use clementinepond_types::{LocalTime, TimeSpan};
use fnv::FnvHashMap;

/// Crashes after which a request is refused.
const CRASH_LIMIT: u32 = 2;
/// Time for which a crash is held against a request.
const CRASH_RETENTION: TimeSpan = TimeSpan::from_secs(120);
/// Largest number of fingerprints kept.
const FINGERPRINT_LIMIT: usize = 4_096;

/// Crashes by fingerprint.
#[derive(Debug, Default)]
pub struct CrashSuspects {
    crashes: FnvHashMap<u64, (u32, LocalTime)>,
}

impl CrashSuspects {
    /// Counts a crash; returns the number counted so far.
    pub fn record_crash(&mut self, fingerprint: u64, now: LocalTime) -> u32 {
        if self.crashes.len() >= FINGERPRINT_LIMIT {
            self.crashes
                .retain(|_, (_, at)| now.since(*at) < CRASH_RETENTION);
        }
        let entry = self.crashes.entry(fingerprint).or_insert((0, now));
        entry.0 += 1;
        entry.1 = now;
        entry.0
    }

    /// Tells whether a request is no longer sent anywhere.
    #[must_use]
    pub fn is_blocked(&self, fingerprint: u64, now: LocalTime) -> bool {
        self.crashes
            .get(&fingerprint)
            .is_some_and(|(count, at)| *count > CRASH_LIMIT && now.since(*at) < CRASH_RETENTION)
    }
}
