//! Index of the prompt blocks in each endpoint's prefix cache.
//!
//! The index is an estimate from the requests sent to endpoints. A request's blocks are
//! assumed to stay in the cache until newer ones evict them.

use crate::fleet::PromptBlock;
use crate::load::NameHash;
use clementinepond_types::LocalTime;
use fnv::FnvHashMap;

#[derive(Debug, Default)]
struct CachedBlocks {
    /// Tokens and last use of each block, by the hash of the weights and the block ID.
    blocks: FnvHashMap<(NameHash, u64), (u64, LocalTime)>,
    /// Sum of the blocks' tokens.
    tokens: u64,
}

/// Index of the prompt blocks that endpoints are likely to have cached.
#[derive(Debug, Default)]
pub struct PrefixCacheIndex {
    endpoints: FnvHashMap<NameHash, CachedBlocks>,
}

impl PrefixCacheIndex {
    /// Records that a prompt is being sent to an endpoint; its blocks count as cached
    /// from now on.
    ///
    /// `weights` is the hash of the model, or of the model and adapter, under which the
    /// blocks are cached; `capacity` is the size of the endpoint's cache, in tokens.
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
            // Callers state the length, and may state another one each time.
            let tokens = block.tokens.min(capacity);
            let before = cached.blocks.insert((weights, block.id), (tokens, now));
            cached.tokens += tokens;
            cached.tokens -= before.map_or(0, |(tokens, _)| tokens);
        }
        if cached.tokens > capacity {
            cached.evict(capacity);
        }
    }

    /// Returns the number of tokens in the longest prefix of a prompt that an endpoint
    /// has likely cached.
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
            .take_while(|block| cached.blocks.contains_key(&(weights, block.id)))
            .fold(0, |sum: u64, block| sum.saturating_add(block.tokens))
    }

    /// Removes an endpoint whose cache was lost.
    pub fn remove(&mut self, endpoint: NameHash) {
        self.endpoints.remove(&endpoint);
    }
}

impl CachedBlocks {
    /// Evicts the least recently used blocks until at most half of the capacity is
    /// taken.
    fn evict(&mut self, capacity: u64) {
        let mut oldest: Vec<_> = self
            .blocks
            .iter()
            .map(|(key, (tokens, at))| (*at, *key, *tokens))
            .collect();
        oldest.sort_unstable_by_key(|(at, ..)| *at);
        for (_, key, tokens) in oldest {
            if self.tokens <= capacity / 2 {
                break;
            }
            self.blocks.remove(&key);
            self.tokens -= tokens;
        }
    }
}
