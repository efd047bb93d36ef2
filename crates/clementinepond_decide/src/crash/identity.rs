//! Identifiers of requests by content, of runs, and of endpoint processes.

use clementinepond_types::{AccountId, EndpointId, ModelId};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;

/// Length of a fingerprint, which is the start of a BLAKE3 hash.
const FINGERPRINT_BYTES: usize = 16;

/// Error for text that is not a fingerprint.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display(
    "request fingerprint is not 32 hexadecimal digits; copy it in full from the list of verdicts"
)]
pub struct FingerprintError;

/// Hash of a client account, a model and a request body; 32 hexadecimal digits as
/// text.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

impl RequestFingerprint {
    /// Hashes account, model and body, each preceded by its length.
    #[must_use]
    pub fn new(account: &AccountId, model: &ModelId, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in [account.as_str().as_bytes(), model.as_str().as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        if text.len() != 2 * FINGERPRINT_BYTES || !text.is_ascii() {
            return Err(FingerprintError);
        }
        let mut bytes = [0; FINGERPRINT_BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| FingerprintError)?;
        }
        Ok(Self(bytes))
    }
}

/// Number of one run of a request; unique within one VM process.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CrashTicket(u64);

impl CrashTicket {
    /// Wraps a ticket number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the ticket as an integer.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Number from an endpoint's report that changes when its process restarts.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct EndpointIncarnation(u64);

impl EndpointIncarnation {
    /// Wraps an incarnation number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

/// Endpoint process to which a connection broke, whether or not it crashed.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{endpoint}#{incarnation}")]
pub struct EndpointLoss {
    /// Endpoint that ran the process.
    pub endpoint: EndpointId,
    /// Incarnation of the process.
    pub incarnation: EndpointIncarnation,
}
