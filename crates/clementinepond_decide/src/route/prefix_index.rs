//! Prompt prefixes that an endpoint is believed to cache.
//!
//! Cache events come late and with gaps. A gap may hide evictions, so after a
//! gap the oldest half of the entries is dropped: a wrong hit only costs
//! prefill time, never a wrong answer.

use derive_more::{Display, FromStr};
use fnv::FnvHasher;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;

/// Bytes of a prompt that the prefix cache is keyed by.
const PREFIX_LENGTH_BYTES: usize = 256;

/// Hash of the first bytes of a prompt.
#[derive(
    Debug, Display, FromStr, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PrefixHash(u64);

impl PrefixHash {
    /// Wraps a hash.
    #[must_use]
    pub const fn new(hash: u64) -> Self {
        Self(hash)
    }

    /// Hashes the first 256 bytes of a prompt, as engines do.
    #[must_use]
    pub fn of_prompt(prompt: &str) -> Self {
        let bytes = prompt.as_bytes();
        let mut hasher = FnvHasher::default();
        hasher.write(&bytes[..bytes.len().min(PREFIX_LENGTH_BYTES)]);
        Self(hasher.finish())
    }
}

/// Bounded set of cached prefixes, oldest dropped first.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    order: BTreeMap<u64, PrefixHash>,
    position: BTreeMap<PrefixHash, u64>,
    next_position: u64,
    next_sequence: Option<u64>,
}

impl PrefixIndex {
    /// Returns whether a prefix is believed to be cached.
    #[must_use]
    pub fn contains(&self, prefix: PrefixHash) -> bool {
        self.position.contains_key(&prefix)
    }

    /// Notes the sequence number of an event and forgets after a gap.
    pub fn observe_sequence(&mut self, sequence: u64) {
        let is_gap = self.next_sequence.is_some_and(|next| sequence > next);
        if is_gap {
            self.truncate(self.order.len() / 2);
        }
        let next = sequence.saturating_add(1);
        self.next_sequence = Some(self.next_sequence.map_or(next, |known| known.max(next)));
    }

    /// Adds or refreshes a prefix, keeping at most `limit`.
    pub fn insert(&mut self, prefix: PrefixHash, limit: usize) {
        self.remove(prefix);
        self.order.insert(self.next_position, prefix);
        self.position.insert(prefix, self.next_position);
        self.next_position += 1;
        self.truncate(limit);
    }

    /// Removes a prefix.
    pub fn remove(&mut self, prefix: PrefixHash) {
        if let Some(position) = self.position.remove(&prefix) {
            self.order.remove(&position);
        }
    }

    /// Forgets everything.
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
