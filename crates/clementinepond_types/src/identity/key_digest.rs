//! Digests of API keys and credentials.
//!
//! Only the digest of a key is stored or sent between VMs. The digest is a
//! 32-byte BLAKE3 hash, which the I/O layer computes when it reads the key.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Length of a digest in bytes.
const DIGEST_LENGTH: usize = 32;

/// Error for a text that is not a key digest.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("key digest is not 64 hexadecimal digits; copy the complete digest")]
pub struct KeyDigestError;

/// Digest of an API key or credential, written as 64 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "Box<str>", into = "Box<str>")]
pub struct KeyDigest([u8; DIGEST_LENGTH]);

impl KeyDigest {
    /// Creates a digest from its bytes.
    #[must_use]
    pub const fn new(bytes: [u8; DIGEST_LENGTH]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    #[must_use]
    pub const fn bytes(&self) -> &[u8; DIGEST_LENGTH] {
        &self.0
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = KeyDigestError;

    fn from_str(text: &str) -> Result<Self, KeyDigestError> {
        if text.len() != 2 * DIGEST_LENGTH || !text.is_ascii() {
            return Err(KeyDigestError);
        }
        let mut bytes = [0; DIGEST_LENGTH];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| KeyDigestError)?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<Box<str>> for KeyDigest {
    type Error = KeyDigestError;

    fn try_from(text: Box<str>) -> Result<Self, KeyDigestError> {
        text.parse()
    }
}

impl From<KeyDigest> for Box<str> {
    fn from(digest: KeyDigest) -> Self {
        digest.to_string().into()
    }
}
