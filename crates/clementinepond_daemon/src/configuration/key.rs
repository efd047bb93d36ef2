//! Digests and lookup of caller keys.

use super::ConfigurationSnapshot;
use clementinepond_settings::fleet::ClientAccount;
use clementinepond_types::{AccountId, KeyDigest, LocalTime};
use subtle::ConstantTimeEq;

/// Key derivation context that separates key digests from other uses of the hash.
const KEY_CONTEXT: &str = "clementinepond caller key v1";

/// Returns the digest that is stored in place of a key.
#[must_use]
pub fn key_digest(key: &str) -> KeyDigest {
    let mut hasher = blake3::Hasher::new_derive_key(KEY_CONTEXT);
    hasher.update(key.as_bytes());
    KeyDigest::new(*hasher.finalize().as_bytes())
}

/// Client account of a valid key.
#[derive(Debug, Clone)]
pub(crate) struct KeyLookup {
    pub(crate) digest: KeyDigest,
    pub(crate) account: AccountId,
    pub(crate) profile: ClientAccount,
}

/// Returns the enabled account of a key.
///
/// The map lookup is not constant-time; the entry found is compared in constant time.
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
