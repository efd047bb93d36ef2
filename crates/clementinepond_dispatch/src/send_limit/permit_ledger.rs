//! Permits that the owner of an endpoint issues.

use super::SendRate;
use crate::load::NameHash;
use clementinepond_types::{LocalTime, TimeSpan};
use fnv::FnvHashMap;

/// Rate at which permits are issued at least, so that an endpoint which states a limit of
/// nearly zero can show that it no longer does.
const MIN_RATE_PER_S: f64 = 0.1;
/// Time in which unused permits add up; keeps the room of short pauses between requests.
const BURST_S: f64 = 0.5;
/// Shortest time after which a VM that got no permit asks again.
const MIN_RETRY_DELAY: TimeSpan = TimeSpan::from_millis(50);
/// Longest time after which a VM that got no permit asks again.
const MAX_RETRY_DELAY: TimeSpan = TimeSpan::from_secs(10);
/// Denials a second for an endpoint beyond which the VMs ask again later than the next
/// permit is due; bounds the messages in a large fleet.
const UNDELAYED_DENIALS_PER_S: f64 = 20.0;

/// Answer to a query for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitVerdict {
    /// One call may be sent now.
    Granted,
    /// No call may be sent.
    Denied {
        /// Time after which the VM may ask again.
        retry_after: TimeSpan,
    },
}

/// Token bucket of the calls that an endpoint takes.
#[derive(Debug, Clone)]
struct PermitBucket {
    level: f64,
    filled_at: LocalTime,
    /// Moving average of the denials, over a second.
    denials_per_s: f64,
}

/// Permits for the endpoints that a VM owns.
#[derive(Debug, Default)]
pub struct PermitLedger {
    buckets: FnvHashMap<NameHash, PermitBucket>,
}

impl PermitLedger {
    /// Takes a permit for an endpoint that states `rate`.
    ///
    /// `share` is the share of the fleet's VMs that are live; those behind a partition have
    /// an owner of their own. The first permit of an owner takes the time of a whole one,
    /// since it does not know what the owner before has issued.
    pub fn take(
        &mut self,
        endpoint: NameHash,
        rate: SendRate,
        share: f64,
        now: LocalTime,
    ) -> PermitVerdict {
        let rate = rate.per_second().max(MIN_RATE_PER_S) * share;
        let bucket = self.buckets.entry(endpoint).or_insert(PermitBucket {
            level: 0.0,
            filled_at: now,
            denials_per_s: 0.0,
        });
        let seconds = now.since(bucket.filled_at).micros() as f64 / 1e6;
        bucket.filled_at = now;
        bucket.level = (bucket.level + seconds * rate).min(1.0 + rate * BURST_S);
        bucket.denials_per_s *= (-seconds).exp();
        if bucket.level >= 1.0 {
            bucket.level -= 1.0;
            return PermitVerdict::Granted;
        }
        bucket.denials_per_s += 1.0;
        let next_s = (1.0 - bucket.level) / rate;
        let spread_s = bucket.denials_per_s / UNDELAYED_DENIALS_PER_S;
        let delay = TimeSpan::from_micros((next_s.max(spread_s) * 1e6).ceil() as u64);
        PermitVerdict::Denied {
            retry_after: delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY),
        }
    }

    /// Removes an endpoint that has restarted or left.
    pub fn remove(&mut self, endpoint: NameHash) {
        self.buckets.remove(&endpoint);
    }
}
