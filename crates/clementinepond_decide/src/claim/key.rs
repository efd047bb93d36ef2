//! Claim keys, request fingerprints and creation times of idempotency keys.

use clementinepond_types::{AccountId, RouteName, TimeSpan};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Length of a claim key, in bytes.
pub(crate) const CLAIM_KEY_LENGTH: usize = 12;
/// Length of a UUID in its text form.
const UUID_TEXT_LENGTH: usize = 36;
/// Number of hexadecimal digits of a version 7 UUID's Unix time in milliseconds.
const UUID_TIME_DIGITS: usize = 12;

/// Number of a claim shard, from zero.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ShardNumber(u32);

impl ShardNumber {
    /// Wraps a shard number.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Returns the shard number.
    #[must_use]
    pub const fn get(self) -> u32 {
        self.0
    }
}

/// Hash of a client account, a route and a caller's idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey([u8; CLAIM_KEY_LENGTH]);

impl ClaimKey {
    /// Hashes the account, the route and the caller's key.
    #[must_use]
    pub fn new(account: &AccountId, route: &RouteName, key: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        for field in [account.as_str(), route.as_str(), key] {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        let mut bytes = [0; CLAIM_KEY_LENGTH];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..CLAIM_KEY_LENGTH]);
        Self(bytes)
    }

    pub(crate) const fn from_bytes(bytes: [u8; CLAIM_KEY_LENGTH]) -> Self {
        Self(bytes)
    }

    pub(crate) const fn bytes(&self) -> &[u8; CLAIM_KEY_LENGTH] {
        &self.0
    }

    /// Returns the shard of the key; `shard_count` must be the same on all VMs.
    #[must_use]
    pub fn shard(&self, shard_count: u32) -> ShardNumber {
        let head = [self.0[0], self.0[1], self.0[2], self.0[3]];
        ShardNumber(u32::from_le_bytes(head) % shard_count.max(1))
    }
}

/// Short hash of a request body, which distinguishes a retry from another request
/// under the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyFingerprint(u32);

impl BodyFingerprint {
    /// Hashes a request body.
    #[must_use]
    pub fn of(body: &[u8]) -> Self {
        let hash = blake3::hash(body);
        let [a, b, c, d, ..] = *hash.as_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }

    pub(crate) const fn from_number(number: u32) -> Self {
        Self(number)
    }

    pub(crate) const fn number(self) -> u32 {
        self.0
    }
}

/// Creation time of a caller's idempotency key, relative to the wall clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyDate {
    /// The key carries no creation time.
    Undated,
    /// The key was created this long ago.
    Past(TimeSpan),
    /// The key's creation time is this far in the future.
    Future(TimeSpan),
}

impl KeyDate {
    /// Returns whether the key carries a creation time.
    #[must_use]
    pub const fn is_dated(self) -> bool {
        !matches!(self, Self::Undated)
    }
}

/// Reads the creation time of a version 7 UUID; other keys are undated.
#[must_use]
pub fn key_date(key: &str, unix_millis: u64) -> KeyDate {
    let Some(key_millis) = uuid_millis(key) else {
        return KeyDate::Undated;
    };
    if key_millis > unix_millis {
        KeyDate::Future(TimeSpan::from_millis(key_millis - unix_millis))
    } else {
        KeyDate::Past(TimeSpan::from_millis(unix_millis - key_millis))
    }
}

fn uuid_millis(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    if bytes.len() != UUID_TEXT_LENGTH || bytes[14] != b'7' {
        return None;
    }
    let dashes = [8, 13, 18, 23];
    let is_well_formed = bytes.iter().enumerate().all(|(index, byte)| {
        if dashes.contains(&index) {
            *byte == b'-'
        } else {
            byte.is_ascii_hexdigit()
        }
    });
    if !is_well_formed {
        return None;
    }
    let digits: String = key.chars().filter(|&c| c != '-').collect();
    u64::from_str_radix(&digits[..UUID_TIME_DIGITS], 16).ok()
}
