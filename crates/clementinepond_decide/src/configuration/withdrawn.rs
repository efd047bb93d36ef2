//! Set of withdrawn keys.

use super::WithdrawnDigest;
use clementinepond_types::{KeyDigest, ObjectVersion, VmId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Withdrawn key with the version that records it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalEntry {
    /// Digest of the key.
    pub key: KeyDigest,
    /// Version of the platform's record that contains the key; `None` if none is known.
    pub recorded: Option<ObjectVersion>,
}

/// Content of the platform object that records all withdrawn keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalRecord {
    /// Digests of the withdrawn keys.
    pub keys: BTreeSet<KeyDigest>,
    /// VM that wrote the last update.
    pub holder: VmId,
    /// Number of the update, counted by the writing process.
    pub nonce: u64,
}

/// Refusal of a withdrawal because the limit of withdrawn keys would be exceeded.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display(
    "withdrawal exceeds the limit of {limit} withdrawn keys; remove keys withdrawn earlier from the configuration first"
)]
pub struct WithdrawalRefusal {
    /// Largest number of withdrawn keys.
    pub limit: usize,
}

/// Number of groups of keys whose digests VMs compare, so that only keys of differing
/// groups are sent.
const GROUP_COUNT: usize = 16;

/// Withdrawn keys with the versions that record them, and digests of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WithdrawnSet {
    entries: BTreeMap<KeyDigest, Option<ObjectVersion>>,
    digest: WithdrawnDigest,
    groups: [WithdrawnDigest; GROUP_COUNT],
}

impl WithdrawnSet {
    /// Returns whether a key is withdrawn.
    #[must_use]
    pub fn contains(&self, key: &KeyDigest) -> bool {
        self.entries.contains_key(key)
    }

    /// Returns the number of withdrawn keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is withdrawn.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Iterates over the withdrawn keys in the order of their digests.
    pub fn iter(&self) -> impl Iterator<Item = WithdrawalEntry> {
        self.entries
            .iter()
            .map(|(&key, &recorded)| WithdrawalEntry { key, recorded })
    }

    /// Returns the digest of the complete set.
    #[must_use]
    pub const fn digest(&self) -> WithdrawnDigest {
        self.digest
    }

    /// Returns the digest of each group of keys.
    #[must_use]
    pub fn groups(&self) -> Vec<WithdrawnDigest> {
        self.groups.to_vec()
    }

    /// Returns the entries of the groups whose digests differ from those of a peer.
    pub(super) fn differing(&self, groups: &[WithdrawnDigest]) -> Vec<WithdrawalEntry> {
        self.iter()
            .filter(|entry| {
                let group = group_of(&entry.key);
                self.groups.get(group) != groups.get(group)
            })
            .collect()
    }

    fn toggle(&mut self, key: &KeyDigest, recorded: Option<ObjectVersion>) {
        let element = element(key, recorded);
        self.digest.toggle(&element);
        if let Some(group) = self.groups.get_mut(group_of(key)) {
            group.toggle(&element);
        }
    }

    /// Adds an entry or raises its recorded version; returns whether the set changed.
    pub(super) fn merge(&mut self, entry: WithdrawalEntry) -> bool {
        let known = self.entries.get(&entry.key).copied();
        let merged = known.map_or(entry.recorded, |known| known.max(entry.recorded));
        if known == Some(merged) {
            return false;
        }
        self.remove(&entry.key);
        self.toggle(&entry.key, merged);
        self.entries.insert(entry.key, merged);
        true
    }

    /// Removes a key from the set.
    pub(super) fn remove(&mut self, key: &KeyDigest) {
        if let Some(recorded) = self.entries.remove(key) {
            self.toggle(key, recorded);
        }
    }

    /// Returns the keys that are not known to be in the platform's record.
    pub(super) fn unrecorded(&self) -> BTreeSet<KeyDigest> {
        self.iter()
            .filter(|entry| entry.recorded.is_none())
            .map(|entry| entry.key)
            .collect()
    }

    /// Returns the keys whose recorded version is smaller than a version.
    pub(super) fn recorded_before(&self, version: ObjectVersion) -> Vec<KeyDigest> {
        self.iter()
            .filter(|entry| entry.recorded.is_some_and(|recorded| recorded < version))
            .map(|entry| entry.key)
            .collect()
    }
}

fn group_of(key: &KeyDigest) -> usize {
    let [first, ..] = key.bytes();
    usize::from(*first) % GROUP_COUNT
}

fn element(key: &KeyDigest, recorded: Option<ObjectVersion>) -> Vec<u8> {
    let version = recorded.map_or(0, ObjectVersion::get);
    [key.bytes().as_slice(), &version.to_le_bytes()].concat()
}
