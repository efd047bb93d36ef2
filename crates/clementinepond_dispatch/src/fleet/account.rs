//! Client accounts and their quotas.

use clementinepond_types::{AccountId, KeyDigest};

/// What an account's rate and burst count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Tokens declared by the request.
    Tokens,
    /// Requests.
    Requests,
}

/// One client account.
#[derive(Debug, Clone)]
pub struct AccountPolicy {
    /// Name.
    pub id: AccountId,
    /// Digests of the keys that work.
    pub keys: Vec<KeyDigest>,
    /// Rank that replaces the route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What rate and burst count.
    pub unit: QuotaUnit,
    /// Cost of a request that declares no tokens.
    pub default_cost: u64,
    /// Units a second over the whole fleet; 0 means no limit.
    pub rate_per_s: f64,
    /// Units that may be spent at once over the whole fleet.
    pub burst: f64,
}
