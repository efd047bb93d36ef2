//! Client accounts and their keys.

use clementinepond_types::{AccountId, PriorityClass, TokenCount, TokenRate};
use serde::{Deserialize, Serialize};

/// What one client account is owed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// Tokens a second over the whole fleet.
    pub rate: TokenRate,
    /// Most tokens at once over the whole fleet.
    pub burst: TokenCount,
    /// Priority class of its requests.
    #[serde(default)]
    pub priority: PriorityClass,
    /// Whether its requests run.
    #[serde(default = "yes")]
    pub enabled: bool,
}

/// One key; the map that holds it is keyed by its digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyEntry {
    /// Account that the key belongs to.
    pub account: AccountId,
    /// Note by which operators recognise the key.
    #[serde(default)]
    pub note: Box<str>,
}

const fn yes() -> bool {
    true
}
