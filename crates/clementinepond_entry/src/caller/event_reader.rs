//! Reading of one answer of a stream of server-sent events.
//!
//! A stream that another endpoint may resume is relayed event by event, so that the caller
//! does not receive part of an event twice. Any other stream is relayed as it arrives.

use bytes::{Bytes, BytesMut};
use clementinepond_dispatch::stream::{BodyFraming, EventScanner};

/// Maximum size of an event; bounds the memory of a VM that buffers an event for each of
/// its streams.
const EVENT_LIMIT_BYTES: usize = 256 * 1024;

/// Point from which a stream goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamPosition {
    /// Its beginning.
    Start,
    /// After the event with this identifier.
    After(u64),
}

/// Reader of one answer of a stream.
#[derive(Debug)]
pub(super) struct EventReader {
    framing: BodyFraming,
    scanner: EventScanner,
    /// Bytes of the incomplete event; `None` for a stream that is relayed as it arrives.
    pending: Option<BytesMut>,
    /// Whether an event was complete.
    has_event: bool,
    /// Identifier of the last complete event that has one.
    last_id: Option<u64>,
}

impl EventReader {
    pub(super) fn new(framing: BodyFraming, is_resumable: bool) -> Self {
        Self {
            framing,
            scanner: EventScanner::default(),
            pending: is_resumable.then(BytesMut::new),
            has_event: false,
            last_id: None,
        }
    }

    /// Reads a chunk and returns the bytes that may be relayed now, if any.
    pub(super) fn push(&mut self, chunk: Bytes) -> Option<Bytes> {
        let end = self.scanner.scan(&chunk);
        self.has_event |= end.is_some();
        let Some(pending) = &mut self.pending else {
            return Some(chunk);
        };
        let before = pending.len();
        pending.extend_from_slice(&chunk);
        let events = pending.split_to(before + end?).freeze();
        self.last_id = last_event_id(&events).or(self.last_id);
        Some(events)
    }

    /// Returns where a stream goes on that had reached `before` when the answer began, or
    /// `None` if events without identifiers were relayed.
    pub(super) const fn position_after(&self, before: StreamPosition) -> Option<StreamPosition> {
        match (self.last_id, self.has_event) {
            (Some(id), _) => Some(StreamPosition::After(id)),
            (None, false) => Some(before),
            (None, true) => None,
        }
    }

    /// Returns whether the incomplete event exceeds the maximum size.
    pub(super) const fn is_overlong(&self) -> bool {
        self.scanner.open_event_bytes() > EVENT_LIMIT_BYTES
    }

    /// Returns the bytes that remain to be relayed after the end of the body, or `None` if
    /// the stream is truncated although its body ended without an error.
    pub(super) fn finish(&mut self) -> Option<Bytes> {
        // The connection of an endpoint that failed before the first event ends like that
        // of an empty stream.
        let may_be_empty = self.framing != BodyFraming::Connection;
        let is_complete = self.scanner.open_event_bytes() == 0 && (self.has_event || may_be_empty);
        let remaining = self.pending.take().unwrap_or_default();
        is_complete.then(|| remaining.freeze())
    }

    /// Returns the number of bytes of the incomplete event.
    pub(super) const fn open_event_bytes(&self) -> usize {
        self.scanner.open_event_bytes()
    }
}

/// Returns the last numeric identifier among the events' lines.
fn last_event_id(events: &[u8]) -> Option<u64> {
    events
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .filter_map(|line| line.strip_prefix(b"id:"))
        .filter_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
        .next_back()
}
