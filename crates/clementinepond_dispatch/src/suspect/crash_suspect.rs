//! Properties by which requests that crash endpoints are recognized.

use crate::fleet::PromptBlock;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Number of shared blocks of a prompt that are suspects; bounds the size of reports.
const MAX_SUSPECT_BLOCKS: usize = 128;

/// Property of a request that may crash the endpoints that run it.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum CrashSuspect {
    /// The request itself: hash of its path, account and body.
    #[display("request-{_0:016x}")]
    Request(u64),
    /// Block of its prompt, by ID.
    #[display("block-{_0:016x}")]
    Block(u64),
}

/// Reason for which a text is no suspect.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("`{text}` is no suspect; use request-HEX or block-HEX")]
pub struct ParseSuspectError {
    text: Box<str>,
}

impl FromStr for CrashSuspect {
    type Err = ParseSuspectError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.split_once('-').and_then(|(kind, number)| {
            let number = u64::from_str_radix(number, 16).ok()?;
            match kind {
                "request" => Some(Self::Request(number)),
                "block" => Some(Self::Block(number)),
                _ => None,
            }
        });
        parsed.ok_or_else(|| ParseSuspectError { text: text.into() })
    }
}

/// Returns the suspects of a request, from the most specific to the most widely shared.
///
/// The last block of a prompt belongs to the request or its session and is left out.
#[must_use]
pub fn suspects_of(fingerprint: u64, blocks: &[PromptBlock]) -> Box<[CrashSuspect]> {
    let shared = blocks.split_last().map_or(&[][..], |(_, shared)| shared);
    let mut suspects = vec![CrashSuspect::Request(fingerprint)];
    for block in shared.iter().take(MAX_SUSPECT_BLOCKS).rev() {
        let suspect = CrashSuspect::Block(block.id);
        if !suspects.contains(&suspect) {
            suspects.push(suspect);
        }
    }
    suspects.into()
}
