//! Log of prefix cache events, which readers see after a lag and with gaps.

use crate::fault::FaultRate;
use clementinepond_types::TimeSpan;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use tokio::time::Instant;

/// Number of latest events kept for readers; older ones are dropped.
const MAX_RETAINED_EVENTS: usize = 4_096;

/// Change of the prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheOperation {
    /// The prefix was added to the cache.
    Stored,
    /// The prefix was evicted from the cache.
    Evicted,
}

/// Addition of a prefix to the cache, or its eviction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, from 1; a gap means that events were lost.
    pub sequence: u64,
    /// Whether the prefix was stored or evicted.
    pub op: CacheOperation,
    /// Hash of the prefix as 16 hexadecimal digits; see
    /// [`prefix_hash`](super::prefix_hash).
    pub prefix: Box<str>,
}

/// Answer to a request for cache events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventList {
    /// Sequence number from which to request the next events.
    pub next: u64,
    /// Events, oldest first.
    pub events: Vec<CacheEvent>,
}

/// Event log that makes each event visible after a lag.
#[derive(Debug)]
pub(super) struct CacheEventLog {
    lag: TimeSpan,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl CacheEventLog {
    pub(super) fn new(lag: TimeSpan) -> Self {
        Self {
            lag,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    pub(super) fn add(
        &mut self,
        op: CacheOperation,
        prefix: u64,
        loss_rate: &mut FaultRate,
        random: &mut impl Rng,
    ) {
        self.sequence += 1;
        if loss_rate.triggers(random) {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            op,
            prefix: format!("{prefix:016x}").into(),
        };
        let due = Instant::now() + self.lag.duration();
        self.events.push_back((due, event));
        if self.events.len() > MAX_RETAINED_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the visible events with a sequence number of at least `from`.
    pub(super) fn visible_from(&self, from: u64) -> CacheEventList {
        let now = Instant::now();
        let due = self.events.iter().take_while(|(due, _)| *due <= now);
        let events = due.map(|(_, event)| event);
        let events: Vec<_> = events
            .filter(|event| event.sequence >= from)
            .cloned()
            .collect();
        let next = events.last().map_or(from, |event| event.sequence + 1);
        CacheEventList { next, events }
    }

    /// Returns the time at which the first event with a sequence number of at
    /// least `from` becomes visible.
    pub(super) fn next_due(&self, from: u64) -> Option<Instant> {
        let next = self.events.iter().find(|(_, event)| event.sequence >= from);
        next.map(|(due, _)| *due)
    }
}
