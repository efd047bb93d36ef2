//! Rendezvous hashing over members.
//!
//! Each key ranks all members by a hash of key and member, so that a change of
//! one member moves only the keys that it held.

use super::RosterTable;
use clementinepond_types::VmId;

/// Returns the weight of a member for a key.
#[must_use]
pub fn weight(key: &str, vm: &VmId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(vm.as_str().as_bytes());
    let mut word = [0; 8];
    hasher.finalize_xof().fill(&mut word);
    u64::from_le_bytes(word)
}

/// Returns the members of a table, largest weight for the key first.
#[must_use]
pub fn ranked_members<'a>(table: &'a RosterTable, key: &str) -> Vec<&'a VmId> {
    let mut members: Vec<_> = table.members.keys().collect();
    members.sort_by_cached_key(|vm| (std::cmp::Reverse(weight(key, vm)), (*vm).clone()));
    members
}

/// Returns the member with the largest weight for the key; `None` for an empty
/// table.
#[must_use]
pub fn first_member<'a>(table: &'a RosterTable, key: &str) -> Option<&'a VmId> {
    table
        .members
        .keys()
        .max_by_key(|vm| (weight(key, vm), std::cmp::Reverse((*vm).clone())))
}
