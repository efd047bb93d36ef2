//! Slots of the continuous batch, assigned by priority.

use crate::network::lock;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use tokio::sync::oneshot;

/// Sort key of a waiting request: higher priority first, then order of arrival.
type QueuePosition = (Reverse<u8>, u64);

#[derive(Debug, Default)]
struct BatchState {
    running: usize,
    arrivals: u64,
    waiting: BTreeMap<QueuePosition, oneshot::Sender<BatchSlot>>,
}

/// Slots of the batch and the queue of requests that wait for one.
#[derive(Debug)]
pub(super) struct BatchQueue {
    size: usize,
    queue_length: usize,
    state: Mutex<BatchState>,
}

/// Slot of the batch; passed to the next waiting request when dropped.
#[derive(Debug)]
pub(super) struct BatchSlot {
    queue: Arc<BatchQueue>,
}

impl BatchQueue {
    pub(super) fn new(size: usize, queue_length: usize) -> Arc<Self> {
        Arc::new(Self {
            size,
            queue_length,
            state: Mutex::default(),
        })
    }

    /// Waits for a slot; `None` if the queue is full.
    pub(super) async fn enter(self: &Arc<Self>, priority: u8) -> Option<BatchSlot> {
        let (position, slot_receiver) = {
            let mut state = self.lock();
            if state.running < self.size {
                state.running += 1;
                return Some(self.slot());
            }
            if state.waiting.len() >= self.queue_length {
                return None;
            }
            state.arrivals += 1;
            let position = (Reverse(priority), state.arrivals);
            let (slot_sender, slot_receiver) = oneshot::channel();
            state.waiting.insert(position, slot_sender);
            (position, slot_receiver)
        };
        let _waiting = QueuedEntry {
            queue: self,
            position,
        };
        slot_receiver.await.ok()
    }

    /// Returns the number of running requests and of waiting requests.
    pub(super) fn load(&self) -> (usize, usize) {
        let state = self.lock();
        (state.running, state.waiting.len())
    }

    fn slot(self: &Arc<Self>) -> BatchSlot {
        BatchSlot {
            queue: Arc::clone(self),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BatchState> {
        lock(&self.state)
    }

    /// Passes a slot to the first waiting request, or frees it if none waits.
    fn release_slot(self: &Arc<Self>) {
        let next = {
            let mut state = self.lock();
            let next = state.waiting.pop_first();
            if next.is_none() {
                state.running -= 1;
            }
            next
        };
        if let Some((_, slot_sender)) = next {
            // If the request was cancelled, dropping the returned slot passes it
            // to the next waiting request.
            drop(slot_sender.send(self.slot()));
        }
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        self.queue.release_slot();
    }
}

/// Queue entry of a waiting request; removed when the request is cancelled.
struct QueuedEntry<'a> {
    queue: &'a BatchQueue,
    position: QueuePosition,
}

impl Drop for QueuedEntry<'_> {
    fn drop(&mut self) {
        self.queue.lock().waiting.remove(&self.position);
    }
}
