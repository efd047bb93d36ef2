//! Suspects whose requests are no longer sent to any endpoint.

use super::CrashSuspect;
use clementinepond_types::{LocalTime, TimeSpan};
use fnv::{FnvHashMap, FnvHasher};
use std::hash::{Hash, Hasher};

/// Time after the last request with a suspect after which it is forgotten.
const BLOCK_RETENTION: TimeSpan = TimeSpan::from_secs(24 * 3_600);
/// Age of the last known request from which the next one is announced to the peers, so that
/// all VMs forget a suspect at about the same time.
const ANNOUNCED_AGE: TimeSpan = TimeSpan::from_secs(600);
/// Maximum number of blocked suspects; those without a request for longest make room.
const MAX_BLOCKED_SUSPECTS: usize = 512;

/// Suspect whose requests are not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BlockedSuspect {
    /// Suspect.
    pub suspect: CrashSuspect,
    /// First crash that counts against it; a later completion clears it.
    pub since: LocalTime,
    /// Last known request with it.
    pub seen_at: LocalTime,
}

/// Blocked suspects.
#[derive(Debug, Default)]
pub(super) struct BlockedTable {
    blocked: FnvHashMap<CrashSuspect, BlockedSuspect>,
    /// Combined hash of the suspects.
    digest: u64,
}

impl BlockedTable {
    /// Adds a suspect or updates its last request; returns whether it is new.
    pub(super) fn insert(&mut self, added: BlockedSuspect) -> bool {
        if let Some(known) = self.blocked.get_mut(&added.suspect) {
            known.seen_at = known.seen_at.max(added.seen_at);
            known.since = known.since.min(added.since);
            return false;
        }
        if self.blocked.len() >= MAX_BLOCKED_SUSPECTS {
            let longest = self.blocked.values().min_by_key(|known| known.seen_at);
            if let Some(suspect) = longest.map(|known| known.suspect) {
                self.remove(suspect);
            }
        }
        self.blocked.insert(added.suspect, added);
        self.digest ^= hash(added.suspect);
        true
    }

    pub(super) fn remove(&mut self, suspect: CrashSuspect) -> Option<BlockedSuspect> {
        let removed = self.blocked.remove(&suspect)?;
        self.digest ^= hash(suspect);
        Some(removed)
    }

    pub(super) fn get(&self, suspect: CrashSuspect) -> Option<&BlockedSuspect> {
        self.blocked.get(&suspect)
    }

    /// Records a request with a suspect; returns whether the peers should learn of it.
    pub(super) fn record_request(&mut self, suspect: CrashSuspect, now: LocalTime) -> bool {
        let Some(known) = self.blocked.get_mut(&suspect) else {
            return false;
        };
        let is_due = now.since(known.seen_at) >= ANNOUNCED_AGE;
        known.seen_at = now;
        is_due
    }

    /// Returns the suspects without a request for the retention time.
    pub(super) fn expired(&self, now: LocalTime) -> Vec<CrashSuspect> {
        let all = self.blocked.values();
        all.filter(|known| now.since(known.seen_at) >= BLOCK_RETENTION)
            .map(|known| known.suspect)
            .collect()
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &BlockedSuspect> {
        self.blocked.values()
    }

    pub(super) const fn digest(&self) -> u64 {
        self.digest
    }
}

fn hash(suspect: CrashSuspect) -> u64 {
    let mut hasher = FnvHasher::default();
    suspect.hash(&mut hasher);
    hasher.finish()
}
