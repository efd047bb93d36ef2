//! Lookup of routes, keys and accounts.
//!
//! The index is built once per version of the configuration, so that a request costs
//! one hash lookup of its host, one of its key and a short scan of path prefixes.

use crate::fleet::{AccountPolicy, FleetPolicy, RoutePolicy, ServiceId, ServicePolicy};
use clementinepond_types::{AccountId, KeyDigest};
use fnv::FnvHashMap;

/// Result of checking a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyCheck<'a> {
    /// The key belongs to this account.
    Account(&'a AccountId),
    /// The key is unknown or missing, but the route is anonymous or no accounts are
    /// configured.
    Open,
    /// The key is unknown or missing.
    Unknown,
}

/// Index of one version of the configuration.
#[derive(Debug)]
pub struct RouteTable {
    policy: FleetPolicy,
    routes_by_host: FnvHashMap<Box<str>, Vec<usize>>,
    account_by_key: FnvHashMap<KeyDigest, usize>,
    account_by_name: FnvHashMap<AccountId, usize>,
}

impl RouteTable {
    /// Creates the index of a configuration.
    #[must_use]
    pub fn new(policy: FleetPolicy) -> Self {
        let mut routes_by_host: FnvHashMap<Box<str>, Vec<usize>> = FnvHashMap::default();
        for (index, route) in policy.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase().into_boxed_str();
            routes_by_host.entry(host).or_default().push(index);
        }
        for indices in routes_by_host.values_mut() {
            indices.sort_by_key(|&index| std::cmp::Reverse(policy.routes[index].path_prefix.len()));
        }
        let mut account_by_key = FnvHashMap::default();
        let mut account_by_name = FnvHashMap::default();
        for (index, account) in policy.accounts.iter().enumerate() {
            account_by_name.insert(account.id.clone(), index);
            for key in &account.keys {
                account_by_key.insert(*key, index);
            }
        }
        Self {
            policy,
            routes_by_host,
            account_by_key,
            account_by_name,
        }
    }

    /// Returns the indexed configuration.
    #[must_use]
    pub const fn policy(&self) -> &FleetPolicy {
        &self.policy
    }

    /// Returns the route of the host with the longest matching path prefix; a port in
    /// `host` is ignored.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RoutePolicy> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let name = name.to_ascii_lowercase();
        let indices = self.routes_by_host.get(name.as_str())?;
        indices
            .iter()
            .map(|&index| &self.policy.routes[index])
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Checks the key of a request for a route.
    #[must_use]
    pub fn check_key(&self, route: &RoutePolicy, key: Option<&KeyDigest>) -> KeyCheck<'_> {
        let found = key.and_then(|digest| self.account_by_key.get(digest));
        match found {
            Some(&index) => KeyCheck::Account(&self.policy.accounts[index].id),
            None if route.is_anonymous || self.policy.accounts.is_empty() => KeyCheck::Open,
            None => KeyCheck::Unknown,
        }
    }

    /// Returns the account with an ID.
    #[must_use]
    pub fn account(&self, id: &AccountId) -> Option<&AccountPolicy> {
        let index = *self.account_by_name.get(id)?;
        self.policy.accounts.get(index)
    }

    /// Returns the service with an ID.
    #[must_use]
    pub fn service(&self, id: &ServiceId) -> Option<&ServicePolicy> {
        self.policy.service(id)
    }
}

/// Returns a service of the route, selected by weight with the random number `draw`;
/// the first one when all weights are zero, `None` without targets.
#[must_use]
pub fn pick_service(route: &RoutePolicy, draw: u32) -> Option<&ServiceId> {
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    if total == 0 {
        return route.targets.first().map(|target| &target.service);
    }
    let mut left = draw % total;
    for target in &route.targets {
        if left < target.weight {
            return Some(&target.service);
        }
        left -= target.weight;
    }
    None
}
