//! Difference between two texts.
//!
//! An operator's change touches one place of a large text, so the difference
//! is what lies between the longest common beginning and end.

use super::ContentDigest;
use clementinepond_types::ObjectVersion;
use serde::{Deserialize, Serialize};

/// How to make a text from an earlier one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentDelta {
    /// Version of the earlier text.
    pub base: ObjectVersion,
    /// Digest of the earlier text.
    pub base_digest: ContentDigest,
    /// Bytes kept from its beginning.
    pub prefix: u32,
    /// Bytes kept from its end.
    pub suffix: u32,
    /// Text between the two.
    pub middle: Box<str>,
    /// Digest of the new text.
    pub digest: ContentDigest,
}

impl ContentDelta {
    /// Compares two texts.
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

    /// Makes the new text, unless the earlier one is not the expected one.
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
