//! Client accounts and their quotas.

use clementinepond_types::{AccountId, KeyDigest};

/// Unit of an account's rate and burst.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Tokens declared by requests.
    Tokens,
    /// Number of requests.
    Requests,
}

/// Client account with its keys and quota.
#[derive(Debug, Clone)]
pub struct AccountPolicy {
    /// Account ID.
    pub id: AccountId,
    /// Digests of the valid keys.
    pub keys: Vec<KeyDigest>,
    /// Priority that replaces the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Unit of the rate and burst.
    pub unit: QuotaUnit,
    /// Cost of a request that declares no tokens, in units.
    pub default_cost: u64,
    /// Units per second over the whole fleet; 0 means no limit.
    pub rate_per_s: f64,
    /// Units that may be spent at once over the whole fleet.
    pub burst: f64,
}
