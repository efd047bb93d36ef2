//! The cache of prompt prefixes.

use std::collections::VecDeque;

/// Change of the cache by one prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CacheChange {
    /// Whether the prefix was there.
    pub(super) hit: bool,
    /// Prefix that had to go.
    pub(super) evicted: Option<u64>,
}

/// Least recently used prefixes go first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: usize,
    prefixes: VecDeque<u64>,
}

impl PrefixCache {
    pub(super) fn new(limit: usize) -> Self {
        Self {
            limit,
            prefixes: VecDeque::new(),
        }
    }

    pub(super) fn touch(&mut self, prefix: u64) -> CacheChange {
        let found = self.prefixes.iter().position(|known| *known == prefix);
        if let Some(index) = found {
            self.prefixes.remove(index);
        }
        self.prefixes.push_back(prefix);
        let full = self.prefixes.len() > self.limit;
        let evicted = full.then(|| self.prefixes.pop_front()).flatten();
        CacheChange {
            hit: found.is_some(),
            evicted,
        }
    }
}
