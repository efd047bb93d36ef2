//! Digests carried by heartbeats.

use clementinepond_types::ObjectVersion;
use serde::{Deserialize, Serialize};

/// Length of a digest, in bytes.
const DIGEST_LENGTH: usize = 16;

/// BLAKE3 hash of a configuration's text, shortened to 16 bytes.
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

/// XOR of the hashes of withdrawn keys and their recorded versions, independent of
/// their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WithdrawnDigest([u8; DIGEST_LENGTH]);

impl WithdrawnDigest {
    /// Adds an element, or removes it if it was added before.
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

/// Summary of a VM's configuration and withdrawn keys, which peers compare with
/// their own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationDigest {
    /// Newest version of the VM; zero for none.
    pub version: ObjectVersion,
    /// Digest of the text of that version; `None` without one.
    pub content: Option<ContentDigest>,
    /// Seconds since the platform was last known to hold no newer version; `None` if never
    /// or if they exceed 16 bits.
    pub age_seconds: Option<u16>,
    /// Digest of the set of withdrawn keys.
    pub withdrawn: WithdrawnDigest,
}
