//! Events of the prefix cache, shown late and with gaps.

use crate::fault::FaultRate;
use clementinepond_types::TimeSpan;
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use tokio::time::Instant;

/// Events kept for readers.
const MAX_RETAINED_EVENTS: usize = 4_096;

/// What happened to a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheOperation {
    /// The prefix is in the cache.
    Stored,
    /// The prefix is no longer in the cache.
    Evicted,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; gaps are lost events.
    pub sequence: u64,
    /// What happened.
    pub op: CacheOperation,
    /// Hash of the prefix, in hexadecimal.
    pub prefix: Box<str>,
}

/// Answer to a reader of cache events.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventList {
    /// Number to ask from next.
    pub next: u64,
    /// Events, oldest first.
    pub events: Vec<CacheEvent>,
}

/// Events that are shown after a lag.
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

    /// Returns what is shown from a number on.
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

    /// Returns when the next event from a number on is shown.
    pub(super) fn next_due(&self, from: u64) -> Option<Instant> {
        let next = self.events.iter().find(|(_, event)| event.sequence >= from);
        next.map(|(due, _)| *due)
    }
}
