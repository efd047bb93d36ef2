//! Parts of prompts that endpoints probably still hold.
//!
//! Built from the requests that this VM sent: the parts of a request stay in
//! its endpoint's cache until newer ones displace them.

use crate::fleet::PromptPart;
use crate::ledger::EndpointKey;
use clementinepond_types::LocalTime;
use fnv::FnvHashMap;

#[derive(Debug, Default)]
struct EndpointParts {
    used_at: FnvHashMap<(EndpointKey, u64), (u64, LocalTime)>,
    tokens: u64,
}

/// Parts that endpoints probably hold.
#[derive(Debug, Default)]
pub struct PartMemory {
    endpoints: FnvHashMap<EndpointKey, EndpointParts>,
}

impl PartMemory {
    /// Notes that an endpoint has read a prompt; `capacity` is its cache in tokens.
    pub fn note_read(
        &mut self,
        endpoint: EndpointKey,
        weights: EndpointKey,
        parts: &[PromptPart],
        capacity: u64,
        now: LocalTime,
    ) {
        let known = self.endpoints.entry(endpoint).or_default();
        for part in parts {
            let before = known.used_at.insert((weights, part.id), (part.tokens, now));
            if before.is_none() {
                known.tokens += part.tokens;
            }
        }
        if known.tokens > capacity {
            known.evict(capacity);
        }
    }

    /// Returns the tokens of a prompt's start that an endpoint probably holds.
    #[must_use]
    pub fn cached_tokens(
        &self,
        endpoint: EndpointKey,
        weights: EndpointKey,
        parts: &[PromptPart],
    ) -> u64 {
        let Some(known) = self.endpoints.get(&endpoint) else {
            return 0;
        };
        parts
            .iter()
            .take_while(|part| known.used_at.contains_key(&(weights, part.id)))
            .map(|part| part.tokens)
            .sum()
    }

    /// Forgets an endpoint that lost its cache.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.endpoints.remove(&endpoint);
    }
}

impl EndpointParts {
    /// Drops the oldest parts until half of the capacity is free.
    fn evict(&mut self, capacity: u64) {
        let mut oldest: Vec<_> = self
            .used_at
            .iter()
            .map(|(key, (tokens, at))| (*at, *key, *tokens))
            .collect();
        oldest.sort_unstable_by_key(|(at, ..)| *at);
        for (_, key, tokens) in oldest {
            if self.tokens <= capacity / 2 {
                break;
            }
            self.used_at.remove(&key);
            self.tokens -= tokens;
        }
    }
}
