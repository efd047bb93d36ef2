//! Versions of endpoints' software.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Maximum length of a version, in bytes; it is part of messages between VMs.
const VERSION_LIMIT_BYTES: usize = 64;

/// Version of the software of an endpoint, unrelated to the versions of its weights.
///
/// Endpoints of one service may run several versions at the same time.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(Box<str>);

/// Text that is no software version.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
#[display("a software version has 1 to {VERSION_LIMIT_BYTES} bytes; shorten it")]
pub struct SoftwareVersionError;

impl FromStr for SoftwareVersion {
    type Err = SoftwareVersionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.len() > VERSION_LIMIT_BYTES {
            return Err(SoftwareVersionError);
        }
        Ok(Self(text.into()))
    }
}
