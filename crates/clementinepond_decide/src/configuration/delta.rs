//! Difference between two texts.
//!
//! An operator's change usually affects one place of a large text, so the difference is
//! the part between the longest common prefix and the longest common suffix.

use super::ContentDigest;
use clementinepond_types::ObjectVersion;
use serde::{Deserialize, Serialize};

/// Difference that turns an earlier text into a new one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentDelta {
    /// Version of the earlier text.
    pub base: ObjectVersion,
    /// Digest of the earlier text.
    pub base_digest: ContentDigest,
    /// Number of bytes kept from the start of the earlier text.
    pub prefix: u32,
    /// Number of bytes kept from the end of the earlier text.
    pub suffix: u32,
    /// New text between prefix and suffix.
    pub middle: Box<str>,
    /// Digest of the new text.
    pub digest: ContentDigest,
}

impl ContentDelta {
    /// Returns the difference of two texts; `None` if a length exceeds 32 bits.
    #[must_use]
    pub fn between(base: ObjectVersion, before: &str, after: &str) -> Option<Self> {
        let prefix = common_prefix(before, after);
        let suffix = common_suffix(before.get(prefix..)?, after.get(prefix..)?);
        let middle = after.get(prefix..after.len().checked_sub(suffix)?)?;
        Some(Self {
            base,
            base_digest: ContentDigest::of(before),
            prefix: u32::try_from(prefix).ok()?,
            suffix: u32::try_from(suffix).ok()?,
            middle: middle.into(),
            digest: ContentDigest::of(after),
        })
    }

    /// Returns the new text; `None` if either text does not match its digest.
    #[must_use]
    pub fn apply(&self, before: &str) -> Option<Box<str>> {
        if ContentDigest::of(before) != self.base_digest {
            return None;
        }
        let prefix = usize::try_from(self.prefix).ok()?;
        let suffix = usize::try_from(self.suffix).ok()?;
        let start = before.get(..prefix)?;
        let end = before.get(before.len().checked_sub(suffix)?..)?;
        let text = [start, &self.middle, end].concat();
        (ContentDigest::of(&text) == self.digest).then(|| text.into())
    }
}

fn common_prefix(before: &str, after: &str) -> usize {
    let pairs = before.chars().zip(after.chars());
    pairs
        .take_while(|(one, other)| one == other)
        .map(|(one, _)| one.len_utf8())
        .sum()
}

fn common_suffix(before: &str, after: &str) -> usize {
    let pairs = before.chars().rev().zip(after.chars().rev());
    pairs
        .take_while(|(one, other)| one == other)
        .map(|(one, _)| one.len_utf8())
        .sum()
}
