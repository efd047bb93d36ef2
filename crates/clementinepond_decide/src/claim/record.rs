//! Who runs a claim, and the answer that is kept for repeats.

use clementinepond_types::VmId;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Bytes that an answer takes besides its headers and body.
const ANSWER_OVERHEAD: usize = 64;

/// Number that the edge gives to one call, unique within one process.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ClaimTicket(u64);

impl ClaimTicket {
    /// Wraps a ticket number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the plain number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Number drawn at random when a process starts.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct VmIncarnation(u64);

impl VmIncarnation {
    /// Wraps an incarnation number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

/// The one call that may run a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunHolder {
    /// VM that received the call.
    pub vm: VmId,
    /// Process on that VM.
    pub incarnation: VmIncarnation,
    /// Call within that process.
    pub ticket: ClaimTicket,
}

/// Complete answer that is kept for repeats of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Body.
    pub body: Box<[u8]>,
}

impl RecordedAnswer {
    /// Returns the size that counts against the limits, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        headers + self.body.len() + ANSWER_OVERHEAD
    }
}
