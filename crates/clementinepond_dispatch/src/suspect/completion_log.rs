//! Last completion of each suspect.

use super::CrashSuspect;
use clementinepond_types::{LocalTime, TimeSpan};
use fnv::FnvHashMap;
use std::collections::VecDeque;

/// Time after which a generation becomes the older one; completions are kept for one to
/// two of these.
const GENERATION_DURATION: TimeSpan = TimeSpan::from_secs(600);
/// Number of suspects at which a generation becomes the older one early; bounds the memory.
const MAX_GENERATION_SUSPECTS: usize = 4_096;

/// Time for which completions are counted.
pub(super) const COUNTED_DURATION: TimeSpan = TimeSpan::from_secs(30);
/// Time whose completions are counted together.
const COUNT_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Last completion of each suspect whose requests completed recently.
#[derive(Debug, Default)]
pub(super) struct CompletionLog {
    recent: FnvHashMap<CrashSuspect, LocalTime>,
    older: FnvHashMap<CrashSuspect, LocalTime>,
    started_at: LocalTime,
    /// Start and number of completions of each counted interval.
    counts: VecDeque<(LocalTime, usize)>,
}

impl CompletionLog {
    /// Records a completion, which may be older than a known one.
    pub(super) fn record(&mut self, suspect: CrashSuspect, at: LocalTime, now: LocalTime) {
        let is_old = now.since(self.started_at) >= GENERATION_DURATION;
        if is_old || self.recent.len() >= MAX_GENERATION_SUSPECTS {
            self.older = std::mem::take(&mut self.recent);
            self.started_at = now;
        }
        let last = self.last(suspect).map_or(at, |known| known.max(at));
        self.recent.insert(suspect, last);
    }

    /// Counts a request of this VM that completed.
    pub(super) fn count(&mut self, now: LocalTime) {
        let is_old = |(start, _): &(LocalTime, usize)| now.since(*start) > COUNTED_DURATION;
        while self.counts.front().is_some_and(is_old) {
            self.counts.pop_front();
        }
        match self.counts.back_mut() {
            Some((start, count)) if now.since(*start) < COUNT_INTERVAL => *count += 1,
            _ => self.counts.push_back((now, 1)),
        }
    }

    /// Returns the number of requests of this VM that completed since a time.
    pub(super) fn counted_since(&self, since: LocalTime) -> usize {
        let recent = self.counts.iter().filter(|(start, _)| *start >= since);
        recent.map(|(_, count)| count).sum()
    }

    /// Returns the last known completion of a suspect.
    pub(super) fn last(&self, suspect: CrashSuspect) -> Option<LocalTime> {
        let known = self.recent.get(&suspect);
        known.or_else(|| self.older.get(&suspect)).copied()
    }
}
