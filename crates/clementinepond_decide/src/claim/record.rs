//! Identity of the call that holds a claim, and the answer kept for retries.

use clementinepond_types::VmId;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Size in bytes that an answer counts in addition to its headers and body.
const ANSWER_OVERHEAD: usize = 64;

/// Number that the I/O layer assigns to a call, unique within one process.
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

    /// Returns the ticket number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Number drawn at random at process start, which identifies the process of a VM.
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

/// Identity of a call that requests or holds a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunHolder {
    /// VM that received the call.
    pub vm: VmId,
    /// Incarnation of the process on that VM.
    pub incarnation: VmIncarnation,
    /// Ticket of the call within that process.
    pub ticket: ClaimTicket,
}

/// Complete answer of an endpoint, kept for retries of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Pairs of header name and value.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Complete response body.
    pub body: Box<[u8]>,
}

impl RecordedAnswer {
    /// Returns the size that counts against `answer_limit` and `answer_budget`, in bytes.
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
