//! Simulated engine that batches requests and caches prompt prefixes.

use clementinepond_decide::route::PrefixHash;
use clementinepond_types::{LocalTime, TimeSpan};
use std::collections::VecDeque;

/// Upper bound of the requests that an engine runs at once.
pub(super) const MAX_BATCH_SIZE: usize = 24;
/// Time between tokens when one request runs.
const BASE_TOKEN_INTERVAL: TimeSpan = TimeSpan::from_micros(16_000);
/// Addition to the time between tokens for each further running request.
const TOKEN_INTERVAL_PER_REQUEST: TimeSpan = TimeSpan::from_micros(600);
/// Time to process one prompt token that isn't cached.
const PREFILL_TIME_PER_TOKEN: TimeSpan = TimeSpan::from_micros(150);
/// Number of prefixes that the cache holds.
const PREFIX_CACHE_CAPACITY: usize = 48;

/// Request as submitted to an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineRequest {
    pub(super) request_index: usize,
    pub(super) prefix: PrefixHash,
    pub(super) prompt_tokens: u64,
    pub(super) answer_tokens: u64,
}

/// Timing of a request that has started.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartedJob {
    pub(super) job: EngineRequest,
    pub(super) first_token: LocalTime,
    pub(super) token_interval: TimeSpan,
    pub(super) completed_at: LocalTime,
    pub(super) was_cached: bool,
}

/// Cache event: a prefix was stored or evicted.
#[derive(Debug, Clone, Copy)]
pub(super) struct CacheChange {
    pub(super) sequence: u64,
    pub(super) prefix: PrefixHash,
    pub(super) stored: bool,
}

/// Engine with a request queue and a prefix cache that evicts the least recently used.
#[derive(Debug, Default)]
pub(super) struct BatchEngine {
    pub(super) running: usize,
    queue: VecDeque<EngineRequest>,
    cache: VecDeque<PrefixHash>,
    next_sequence: u64,
    pub(super) changes: Vec<CacheChange>,
    pub(super) is_leaving: bool,
}

impl BatchEngine {
    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn submit(&mut self, job: EngineRequest) {
        self.queue.push_back(job);
    }

    /// Starts the next queued request if the batch has room.
    pub(super) fn start_next(&mut self, now: LocalTime) -> Option<StartedJob> {
        if self.running >= MAX_BATCH_SIZE {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.running += 1;
        let was_cached = self.access_prefix(job.prefix);
        let prefill = if was_cached {
            TimeSpan::ZERO
        } else {
            PREFILL_TIME_PER_TOKEN.fraction(job.prompt_tokens, 1)
        };
        let token_interval =
            BASE_TOKEN_INTERVAL + TOKEN_INTERVAL_PER_REQUEST.fraction(self.running as u64 - 1, 1);
        let first_token = now + prefill + token_interval;
        Some(StartedJob {
            job,
            first_token,
            token_interval,
            completed_at: first_token
                + token_interval.fraction(job.answer_tokens.saturating_sub(1), 1),
            was_cached,
        })
    }

    fn access_prefix(&mut self, prefix: PrefixHash) -> bool {
        let found = self.cache.iter().position(|known| *known == prefix);
        match found {
            Some(index) => {
                self.cache.remove(index);
            }
            None => self.record_change(prefix, true),
        }
        self.cache.push_back(prefix);
        if self.cache.len() > PREFIX_CACHE_CAPACITY
            && let Some(evicted) = self.cache.pop_front()
        {
            self.record_change(evicted, false);
        }
        found.is_some()
    }

    fn record_change(&mut self, prefix: PrefixHash, stored: bool) {
        self.changes.push(CacheChange {
            sequence: self.next_sequence,
            prefix,
            stored,
        });
        self.next_sequence += 1;
    }
}
