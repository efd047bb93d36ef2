//! Prompt prefixes that an endpoint probably caches.
//!
//! Cache events arrive late and with gaps. A gap may hide evictions, so the
//! older half of the entries is dropped after a gap. A prefix that is wrongly
//! assumed to be cached only costs prefill time and never changes an answer.

use derive_more::{Display, FromStr};
use fnv::FnvHasher;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// Length of the prompt prefix that is hashed as the key of the prefix cache.
const PREFIX_LENGTH_BYTES: usize = 256;

/// Hash of the first bytes of a prompt.
#[derive(
    Debug, Display, FromStr, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// Wraps a hash that an endpoint reported.
    #[must_use]
    pub const fn new(hash: u64) -> Self {
        Self(hash)
    }

    /// Returns the FNV hash of the first 256 bytes of a prompt, as engines compute it.
    #[must_use]
    pub fn of_prompt(prompt: &str) -> Self {
        let bytes = prompt.as_bytes();
        let mut hasher = FnvHasher::default();
        hasher.write(&bytes[..bytes.len().min(PREFIX_LENGTH_BYTES)]);
        Self(hasher.finish())
    }
}

/// Set of cached prefixes in order of insertion, which evicts the oldest first.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    order: BTreeMap<u64, PrefixHash>,
    position: BTreeMap<PrefixHash, u64>,
    next_position: u64,
    next_sequence: Option<u64>,
}

impl PrefixIndex {
    /// Returns whether a prefix is probably cached.
    #[must_use]
    pub fn contains(&self, prefix: PrefixHash) -> bool {
        self.position.contains_key(&prefix)
    }

    /// Records the sequence number of an event; drops the older half of the entries
    /// after a gap.
    pub fn observe_sequence(&mut self, sequence: u64) {
        let is_gap = self.next_sequence.is_some_and(|next| sequence > next);
        if is_gap {
            self.truncate(self.order.len() / 2);
        }
        let next = sequence.saturating_add(1);
        self.next_sequence = Some(self.next_sequence.map_or(next, |known| known.max(next)));
    }

    /// Adds a prefix or makes it the newest one; evicts the oldest above `limit`.
    pub fn insert(&mut self, prefix: PrefixHash, limit: usize) {
        self.remove(prefix);
        self.order.insert(self.next_position, prefix);
        self.position.insert(prefix, self.next_position);
        self.next_position += 1;
        self.truncate(limit);
    }

    /// Removes a prefix that the endpoint evicted.
    pub fn remove(&mut self, prefix: PrefixHash) {
        if let Some(position) = self.position.remove(&prefix) {
            self.order.remove(&position);
        }
    }

    /// Removes all prefixes and resets the sequence number.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the prefixes in ascending order.
    #[must_use]
    pub fn prefixes(&self) -> BTreeSet<PrefixHash> {
        self.position.keys().copied().collect()
    }

    fn truncate(&mut self, limit: usize) {
        while self.order.len() > limit {
            if let Some((_, prefix)) = self.order.pop_first() {
                self.position.remove(&prefix);
            }
        }
    }
}
