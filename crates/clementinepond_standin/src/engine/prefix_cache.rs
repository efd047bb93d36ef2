//! Cache of prompt prefixes.

use std::collections::VecDeque;

/// Effect of one prompt on the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct CacheChange {
    /// Whether the cache already contained the prefix.
    pub(super) hit: bool,
    /// Prefix evicted to stay within the limit.
    pub(super) evicted: Option<u64>,
}

/// LRU cache of prefix hashes, ordered from the least recently used one. It
/// does not distinguish between models.
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

    /// Marks a prefix as used, adding it if necessary.
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
