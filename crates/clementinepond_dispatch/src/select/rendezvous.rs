//! Rendezvous hashing.

use fnv::FnvHasher;
use std::hash::Hasher;

/// Returns the weight of a member for a key.
///
/// The member with the highest weight owns the key; all VMs compute the same owner.
#[must_use]
pub fn rendezvous_weight(key: u64, member: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write_u64(key);
    hasher.write(member.as_bytes());
    // FNV mixes the last bytes poorly into the high bits.
    let mixed = hasher.finish();
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
