//! Names of services.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Name of one service behind the entry VMs.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceId(Box<str>);

impl ServiceId {
    /// Wraps a name.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self(name.into())
    }

    /// Returns the name as text.
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
