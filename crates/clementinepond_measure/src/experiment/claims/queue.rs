//! Event queue of the simulation, ordered by virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Priority queue of events, ordered by time and then by insertion.
#[derive(Debug)]
pub(crate) struct EventQueue<T> {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, T>,
    next: u64,
}

impl<T> EventQueue<T> {
    pub(crate) fn new() -> Self {
        Self {
            order: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
        }
    }

    pub(crate) fn push(&mut self, at: u64, event: T) {
        self.order.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, T)> {
        let Reverse((at, number)) = self.order.pop()?;
        self.events.remove(&number).map(|event| (at, event))
    }
}
