//! Service IDs.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// ID of a service behind the entry VMs.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceId(Box<str>);

impl ServiceId {
    /// Creates an ID from a name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self(name.into())
    }

    /// Returns the ID as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for ServiceId {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self::new(text))
    }
}
