//! Client accounts and their keys.

use clementinepond_types::{AccountId, PriorityClass, TokenCount, TokenRate};
use serde::{Deserialize, Serialize};

/// Client account with its limits and priority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Token rate over the whole fleet.
    pub rate: TokenRate,
    /// Maximum burst over the whole fleet.
    pub burst: TokenCount,
    /// Priority class of requests of the account.
    #[serde(default)]
    pub priority: PriorityClass,
    /// Whether requests of the account are accepted.
    #[serde(default = "yes")]
    pub enabled: bool,
}

/// API key; its digest is the key of the map that contains it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Account that the key belongs to.
    pub account: AccountId,
    /// Note that helps operators to recognise the key.
    #[serde(default)]
    pub note: Box<str>,
}

const fn yes() -> bool {
    true
}
