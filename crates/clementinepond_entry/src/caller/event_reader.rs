//! Splitting of a stream into complete server-sent events.
//!
//! A stream that another endpoint may resume is relayed event by event, so that the caller
//! does not receive part of an event twice.

use bytes::{Bytes, BytesMut};

/// Size up to which an incomplete event is buffered; a larger one is relayed in parts.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Buffer of the incomplete event at the end of a stream.
#[derive(Debug, Default)]
pub(super) struct EventReader {
    pending: BytesMut,
    /// Number of pending bytes in which no event's end can start.
    scanned: usize,
    /// Identifier of the last complete event that has one.
    pub(super) last_id: Option<u64>,
}

impl EventReader {
    /// Appends a chunk and returns the events that are complete now, if any.
    pub(super) fn push(&mut self, chunk: &[u8]) -> Option<Bytes> {
        self.pending.extend_from_slice(chunk);
        let mut end = 0;
        while let Some(length) = event_length(&self.pending[end..], self.scanned) {
            if let Some(id) = event_id(&self.pending[end..end + length]) {
                self.last_id = Some(id);
            }
            end += length;
            self.scanned = 0;
        }
        self.scanned = (self.pending.len() - end).saturating_sub(3);
        (end > 0).then(|| self.pending.split_to(end).freeze())
    }

    /// Returns whether the incomplete event is too large to be buffered.
    pub(super) fn is_overlong(&self) -> bool {
        self.pending.len() > EVENT_LIMIT_BYTES
    }

    /// Removes and returns the buffered bytes.
    pub(super) fn take_remaining(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Drops the incomplete event after which a stream was interrupted.
    pub(super) fn drop_partial(&mut self) {
        self.pending.clear();
        self.scanned = 0;
    }
}

/// Returns the length of the first event, its blank line included, scanning from `from`.
fn event_length(bytes: &[u8], from: usize) -> Option<usize> {
    let mut index = from.min(bytes.len());
    while index < bytes.len() {
        if bytes[index..].starts_with(b"\n\n") {
            return Some(index + 2);
        }
        if bytes[index..].starts_with(b"\r\n\r\n") {
            return Some(index + 4);
        }
        index += 1;
    }
    None
}

/// Returns the first numeric identifier among an event's lines.
fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
