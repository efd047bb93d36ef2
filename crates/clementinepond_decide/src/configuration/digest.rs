//! Digests that heartbeats carry.

use clementinepond_types::ObjectVersion;
use serde::{Deserialize, Serialize};

/// Length of a digest, in bytes.
const DIGEST_LENGTH: usize = 16;

/// Shortened BLAKE3 hash of a configuration's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ContentDigest([u8; DIGEST_LENGTH]);

impl ContentDigest {
    /// Hashes a text.
    #[must_use]
    pub fn of(text: &str) -> Self {
        Self(shortened(text.as_bytes()))
    }
}

/// Digest of a set of withdrawn keys, independent of their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WithdrawnDigest([u8; DIGEST_LENGTH]);

impl WithdrawnDigest {
    /// Adds one element, or takes it away again.
    pub(super) fn toggle(&mut self, element: &[u8]) {
        for (byte, other) in self.0.iter_mut().zip(shortened(element)) {
            *byte ^= other;
        }
    }
}

fn shortened(bytes: &[u8]) -> [u8; DIGEST_LENGTH] {
    let mut digest = [0; DIGEST_LENGTH];
    let mut hasher = blake3::Hasher::new();
    hasher.update(bytes);
    hasher.finalize_xof().fill(&mut digest);
    digest
}

/// What a VM has, in brief.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDigest {
    /// Newest version that the VM has; zero for none.
    pub version: ObjectVersion,
    /// Digest of its text.
    pub content: Option<ContentDigest>,
    /// Seconds since the platform was known to hold no newer version.
    pub age_seconds: Option<u16>,
    /// Digest of the withdrawn keys.
    pub withdrawn: WithdrawnDigest,
}
