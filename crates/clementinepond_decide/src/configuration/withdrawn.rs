//! The set of withdrawn keys.

use super::WithdrawnDigest;
use clementinepond_types::{KeyDigest, ObjectVersion, VmId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One withdrawn key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalEntry {
    /// Digest of the key.
    pub key: KeyDigest,
    /// Version of the platform's record that holds it, when known.
    pub recorded: Option<ObjectVersion>,
}

/// The platform's record of withdrawn keys; one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalRecord {
    /// Digests of the keys.
    pub keys: BTreeSet<KeyDigest>,
    /// Writer of the last update.
    pub holder: VmId,
    /// Number of the last update of the writer.
    pub nonce: u64,
}

/// Reason for which a withdrawal was refused.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display(
    "{limit} withdrawn keys are kept already; remove withdrawn keys from the configuration first"
)]
pub struct WithdrawalRefusal {
    /// Most keys that are kept.
    pub limit: usize,
}

/// Groups of keys that VMs compare one by one.
const GROUP_COUNT: usize = 16;

/// Withdrawn keys and where they are recorded.
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

    /// Returns the withdrawn keys.
    pub fn iter(&self) -> impl Iterator<Item = WithdrawalEntry> {
        self.entries
            .iter()
            .map(|(&key, &recorded)| WithdrawalEntry { key, recorded })
    }

    /// Returns the digest of the set.
    #[must_use]
    pub const fn digest(&self) -> WithdrawnDigest {
        self.digest
    }

    /// Returns the digest of each group of keys.
    #[must_use]
    pub fn groups(&self) -> Vec<WithdrawnDigest> {
        self.groups.to_vec()
    }

    /// Returns the entries of the groups in which a peer differs.
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

    /// Adds an entry or raises its version; returns whether the set changed.
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

    /// Takes a key out of the set.
    pub(super) fn remove(&mut self, key: &KeyDigest) {
        if let Some(recorded) = self.entries.remove(key) {
            self.toggle(key, recorded);
        }
    }

    /// Returns the entries that no record holds yet.
    pub(super) fn unrecorded(&self) -> BTreeSet<KeyDigest> {
        self.iter()
            .filter(|entry| entry.recorded.is_none())
            .map(|entry| entry.key)
            .collect()
    }

    /// Returns the keys recorded before a version.
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
