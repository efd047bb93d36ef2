//! Endpoints' software that began a stream, and what VMs know of it.
//!
//! What two versions of an endpoint's software write does not fit together, so a stream
//! goes on only at the version that began it. A caller may take a stream up at any VM,
//! also when the one that began it is gone; so each VM that relays the first event of a
//! stream sends its origin to a few others, which keep it until the caller's deadline.

use crate::fleet::{ServiceId, SoftwareVersion};
use clementinepond_types::{AccountId, LocalTime, RequestId, TimeSpan, VmId};
use derive_more::Display;
use fnv::{FnvHashMap, FnvHashSet, FnvHasher};
use serde::{Deserialize, Serialize};
use std::hash::Hasher;

/// Maximum number of origins that a VM keeps; they need about 10 MB.
const MAX_ORIGINS: usize = 65_536;
/// Age from which a search is abandoned; peers are asked again well before.
const SEARCH_MAX_AGE: TimeSpan = TimeSpan::from_secs(2);
/// Interval between removals of expired origins.
const SWEEP_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Identity of a stream over its caller's tries: the account and the attempt that brought
/// the first event, hashed.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{_0:016x}")]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that an attempt began.
    #[must_use]
    pub fn new(account: Option<&AccountId>, attempt: &RequestId) -> Self {
        let mut hasher = FnvHasher::default();
        hasher.write(account.map_or("", |id| id.as_str()).as_bytes());
        hasher.write_u8(0);
        hasher.write(attempt.as_str().as_bytes());
        Self(hasher.finish())
    }

    /// Returns the key as a number.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0
    }
}

/// Service and software version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of the endpoint.
    pub service: ServiceId,
    /// Version of the endpoint's software.
    pub software: SoftwareVersion,
}

#[derive(Debug)]
struct OriginRecord {
    origin: StreamOrigin,
    expires_at: LocalTime,
}

/// Search for an origin at other VMs.
#[derive(Debug)]
struct OriginSearch {
    /// Peers that have not answered yet.
    awaited: FnvHashSet<VmId>,
    asked_at: LocalTime,
}

/// Origins that a VM knows, and the peers that it has asked for others.
#[derive(Debug, Default)]
pub struct OriginTable {
    records: FnvHashMap<StreamKey, OriginRecord>,
    searches: FnvHashMap<StreamKey, OriginSearch>,
    swept_at: LocalTime,
}

impl OriginTable {
    /// Records an origin until a time; returns `false` if the table is full.
    pub fn record(&mut self, key: StreamKey, origin: StreamOrigin, expires_at: LocalTime) -> bool {
        if self.records.len() >= MAX_ORIGINS && !self.records.contains_key(&key) {
            return false;
        }
        let record = self
            .records
            .entry(key)
            .or_insert(OriginRecord { origin, expires_at });
        record.expires_at = record.expires_at.max(expires_at);
        true
    }

    /// Returns the origin of a stream and the time until which it is kept.
    #[must_use]
    pub fn get(&self, key: StreamKey, now: LocalTime) -> Option<(&StreamOrigin, LocalTime)> {
        let record = self.records.get(&key)?;
        (now < record.expires_at).then_some((&record.origin, record.expires_at))
    }

    /// Records which peers are asked for an origin.
    pub fn ask(&mut self, key: StreamKey, peers: FnvHashSet<VmId>, now: LocalTime) {
        let search = OriginSearch {
            awaited: peers,
            asked_at: now,
        };
        self.searches.insert(key, search);
    }

    /// Records that a peer does not know an origin.
    pub fn record_unknown(&mut self, key: StreamKey, peer: &VmId) {
        if let Some(search) = self.searches.get_mut(&key) {
            search.awaited.remove(peer);
        }
    }

    /// Returns whether a peer that was asked for an origin may still answer.
    #[must_use]
    pub fn is_awaited(&self, key: StreamKey) -> bool {
        let search = self.searches.get(&key);
        search.is_some_and(|search| !search.awaited.is_empty())
    }

    /// Ends the search for an origin.
    pub fn end_search(&mut self, key: StreamKey) {
        self.searches.remove(&key);
    }

    /// Removes expired origins, and searches whose callers have disconnected.
    pub fn sweep(&mut self, now: LocalTime) {
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.records.retain(|_, record| now < record.expires_at);
            self.searches
                .retain(|_, search| now.since(search.asked_at) < SEARCH_MAX_AGE);
        }
    }

    /// Returns the number of origins.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the VM knows no origin.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
