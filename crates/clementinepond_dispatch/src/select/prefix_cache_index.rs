//! Parts of prompts that endpoints probably still hold.
//!
//! Built from the requests that this VM sent: the blocks of a request stay in
//! its endpoint's cache until newer ones displace them.

use crate::fleet::PromptBlock;
use crate::load::NameHash;
use clementinepond_types::LocalTime;
use fnv::FnvHashMap;

#[derive(Debug, Default)]
struct CachedBlocks {
    last_used: FnvHashMap<(NameHash, u64), (u64, LocalTime)>,
    tokens: u64,
}

/// Parts that endpoints probably hold.
#[derive(Debug, Default)]
pub struct PrefixCacheIndex {
    endpoints: FnvHashMap<NameHash, CachedBlocks>,
}

impl PrefixCacheIndex {
    /// Notes that an endpoint has read a prompt; `capacity` is its cache in tokens.
    pub fn record_prefill(
        &mut self,
        endpoint: NameHash,
        weights: NameHash,
        blocks: &[PromptBlock],
        capacity: u64,
        now: LocalTime,
    ) {
        let cached = self.endpoints.entry(endpoint).or_default();
        for block in blocks {
            let before = cached
                .last_used
                .insert((weights, block.id), (block.tokens, now));
            if before.is_none() {
                cached.tokens += block.tokens;
            }
        }
        if cached.tokens > capacity {
            cached.evict(capacity);
        }
    }

    /// Returns the tokens of a prompt's start that an endpoint probably holds.
    #[must_use]
    pub fn cached_tokens(
        &self,
        endpoint: NameHash,
        weights: NameHash,
        blocks: &[PromptBlock],
    ) -> u64 {
        let Some(cached) = self.endpoints.get(&endpoint) else {
            return 0;
        };
        blocks
            .iter()
            .take_while(|block| cached.last_used.contains_key(&(weights, block.id)))
            .map(|block| block.tokens)
            .sum()
    }

    /// Forgets an endpoint that lost its cache.
    pub fn forget(&mut self, endpoint: NameHash) {
        self.endpoints.remove(&endpoint);
    }
}

impl CachedBlocks {
    /// Drops the oldest blocks until half of the capacity is free.
    fn evict(&mut self, capacity: u64) {
        let mut oldest: Vec<_> = self
            .last_used
            .iter()
            .map(|(key, (tokens, at))| (*at, *key, *tokens))
            .collect();
        oldest.sort_unstable_by_key(|(at, ..)| *at);
        for (_, key, tokens) in oldest {
            if self.tokens <= capacity / 2 {
                break;
            }
            self.last_used.remove(&key);
            self.tokens -= tokens;
        }
    }
}
