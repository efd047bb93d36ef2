//! Choice of an account's owner: one VM in each data centre, by rendezvous
//! hashing.

use clementinepond_types::{AccountId, VmId};

/// Hashes a name for the choice of an owner.
pub(super) fn hash_name(name: &str) -> u64 {
    let digest = blake3::hash(name.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Members of one data centre, sorted by name, with the hash of each name.
#[derive(Debug, Clone, Default)]
pub(super) struct MemberList {
    members: Vec<(u64, VmId)>,
    digest: u64,
}

impl MemberList {
    pub(super) fn new(members: &[VmId]) -> Self {
        let mut names: Vec<&VmId> = members.iter().collect();
        names.sort();
        names.dedup();
        let mut hasher = blake3::Hasher::new();
        for name in &names {
            hasher.update(name.as_str().as_bytes());
            hasher.update(b"\n");
        }
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        Self {
            digest: u64::from_le_bytes(bytes),
            members: names
                .into_iter()
                .map(|name| (hash_name(name.as_str()), name.clone()))
                .collect(),
        }
    }

    /// Returns a digest that is equal on all VMs with the same list.
    pub(super) fn digest(&self) -> u64 {
        self.digest
    }

    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &VmId> {
        self.members.iter().map(|(_, name)| name)
    }

    /// Returns the member with the largest weight for the hash of an account.
    pub(super) fn owner(&self, account: u64) -> Option<&VmId> {
        let weigh = |(hash, _): &&(u64, VmId)| mix(hash ^ account);
        self.members.iter().max_by_key(weigh).map(|(_, name)| name)
    }
}

/// Hashes the name of an account.
pub(super) fn hash_account(account: &AccountId) -> u64 {
    hash_name(account.as_str())
}

/// Applies the finalizer of the `SplitMix64` generator.
const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
