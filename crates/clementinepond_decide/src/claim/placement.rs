//! Rendezvous hashing of shards over data centres and VMs.

use super::key::ShardNumber;
use clementinepond_types::{DataCentreId, VmId};

fn weight(shard: ShardNumber, name: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&shard.get().to_le_bytes());
    hasher.update(name.as_bytes());
    let hash = hasher.finalize();
    let [a, b, c, d, e, f, g, h, ..] = *hash.as_bytes();
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

/// Returns the data centre whose VMs own a shard; `None` if the list is empty.
#[must_use]
pub fn shard_data_centre(
    shard: ShardNumber,
    data_centres: &[DataCentreId],
) -> Option<&DataCentreId> {
    data_centres
        .iter()
        .max_by_key(|name| (weight(shard, name.as_str()), *name))
}

/// Ranks the VMs of a data centre for a shard: the owner first, then its replicas
/// in order of preference.
#[must_use]
pub fn rank_members(shard: ShardNumber, members: &[VmId]) -> Vec<VmId> {
    let mut ranked: Vec<VmId> = members.to_vec();
    ranked.sort_by_key(|vm| (weight(shard, vm.as_str()), vm.clone()));
    ranked.reverse();
    ranked
}
