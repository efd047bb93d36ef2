//! An engine that batches requests and caches prompt prefixes.

use clementinepond_decide::route::PrefixHash;
use clementinepond_types::{LocalTime, TimeSpan};
use std::collections::VecDeque;

/// Requests that run at once.
pub(super) const BATCH_SIZE: usize = 24;
/// Time of one token when one request runs.
const TOKEN_TIME: TimeSpan = TimeSpan::from_micros(16_000);
/// Time by which each further request lengthens a token.
const TOKEN_TIME_PER_RUNNING: TimeSpan = TimeSpan::from_micros(600);
/// Time to read one prompt token that is not cached.
const PREFILL_TIME: TimeSpan = TimeSpan::from_micros(150);
/// Prefixes that fit into the cache.
const CACHED_PREFIXES: usize = 48;

/// What a request asks of an engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct EngineJob {
    pub(super) number: usize,
    pub(super) prefix: PrefixHash,
    pub(super) prompt_tokens: u64,
    pub(super) answer_tokens: u64,
}

/// How a request that starts now will run.
#[derive(Debug, Clone, Copy)]
pub(super) struct StartedJob {
    pub(super) job: EngineJob,
    pub(super) first_token: LocalTime,
    pub(super) between: TimeSpan,
    pub(super) end: LocalTime,
    pub(super) was_cached: bool,
}

/// Change of the cache that an engine tells about.
#[derive(Debug, Clone, Copy)]
pub(super) struct CacheChange {
    pub(super) sequence: u64,
    pub(super) prefix: PrefixHash,
    pub(super) stored: bool,
}

/// An engine.
#[derive(Debug, Default)]
pub(super) struct BatchEngine {
    pub(super) running: usize,
    queue: VecDeque<EngineJob>,
    cache: VecDeque<PrefixHash>,
    next_sequence: u64,
    pub(super) changes: Vec<CacheChange>,
    pub(super) is_leaving: bool,
}

impl BatchEngine {
    pub(super) fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn submit(&mut self, job: EngineJob) {
        self.queue.push_back(job);
    }

    /// Starts the next request if there is room.
    pub(super) fn start_next(&mut self, now: LocalTime) -> Option<StartedJob> {
        if self.running >= BATCH_SIZE {
            return None;
        }
        let job = self.queue.pop_front()?;
        self.running += 1;
        let was_cached = self.touch(job.prefix);
        let prefill = if was_cached {
            TimeSpan::ZERO
        } else {
            PREFILL_TIME.fraction(job.prompt_tokens, 1)
        };
        let between = TOKEN_TIME + TOKEN_TIME_PER_RUNNING.fraction(self.running as u64 - 1, 1);
        let first_token = now + prefill + between;
        Some(StartedJob {
            job,
            first_token,
            between,
            end: first_token + between.fraction(job.answer_tokens.saturating_sub(1), 1),
            was_cached,
        })
    }

    fn touch(&mut self, prefix: PrefixHash) -> bool {
        let found = self.cache.iter().position(|known| *known == prefix);
        match found {
            Some(index) => {
                self.cache.remove(index);
            }
            None => self.tell(prefix, true),
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES
            && let Some(evicted) = self.cache.pop_front()
        {
            self.tell(evicted, false);
        }
        found.is_some()
    }

    fn tell(&mut self, prefix: PrefixHash, stored: bool) {
        self.changes.push(CacheChange {
            sequence: self.next_sequence,
            prefix,
            stored,
        });
        self.next_sequence += 1;
    }
}
