//! Digests of keys and their lookup.

use super::ConfigurationSnapshot;
use clementinepond_settings::fleet::ClientAccount;
use clementinepond_types::{AccountId, KeyDigest, LocalTime};
use subtle::ConstantTimeEq;

/// Context that keeps digests of keys apart from other hashes.
const KEY_CONTEXT: &str = "clementinepond caller key v1";

/// Returns the digest under which a key is stored.
#[must_use]
pub fn key_digest(key: &str) -> KeyDigest {
    let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
    hasher.update(key.as_bytes());
    KeyDigest::new(*hasher.finalize().as_bytes())
}

/// What a key allows.
#[derive(Debug, Clone)]
pub(crate) struct KeyLookup {
    pub(crate) digest: KeyDigest,
    pub(crate) account: AccountId,
    pub(crate) profile: ClientAccount,
}

/// Finds the enabled account of a key; the digests are compared in constant time.
pub(crate) fn find_key(
    snapshot: &ConfigurationSnapshot,
    digest: KeyDigest,
    now: LocalTime,
) -> Option<KeyLookup> {
    if now >= snapshot.key_deadline {
        return None;
    }
    let (stored, entry) = snapshot.configuration.keys.get_key_value(&digest)?;
    if !bool::from(stored.bytes().ct_eq(digest.bytes())) || snapshot.withdrawn.contains(&digest) {
        return None;
    }
    let profile = snapshot.configuration.accounts.get(&entry.account)?;
    profile.enabled.then(|| KeyLookup {
        digest,
        account: entry.account.clone(),
        profile: profile.clone(),
    })
}
