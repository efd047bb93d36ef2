//! Hashes that stand for names in messages between VMs.

use derive_more::Display;
use fnv::FnvHasher;
use serde::{Deserialize, Serialize};
use std::hash::Hasher;

/// 32-bit hash of the name of an endpoint, model or adapter; keeps messages small.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:08x}")]
pub struct NameHash(u32);

impl NameHash {
    /// Returns the hash of a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        let mut hasher = FnvHasher::default();
        hasher.write(name.as_bytes());
        let hash = hasher.finish();
        Self((hash ^ (hash >> 32)) as u32)
    }

    /// Returns the hash as a number.
    #[must_use]
    pub fn number(self) -> u64 {
        u64::from(self.0)
    }
}
