//! Splitting of a stream into whole events.
//!
//! A stream that another endpoint may continue is passed on event by event,
//! so that the caller never gets a part of an event twice.

use bytes::{Bytes, BytesMut};

/// Largest event that is held back, in bytes.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Collects the bytes of a stream.
#[derive(Debug, Default)]
pub(super) struct EventReader {
    pending: BytesMut,
    scanned: usize,
    /// Identity of the last whole event.
    pub(super) last_id: Option<u64>,
}

impl EventReader {
    /// Takes bytes; returns whole events, if there are any.
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

    /// Tells whether an event is too large to be held back.
    pub(super) fn is_overlong(&self) -> bool {
        self.pending.len() > EVENT_LIMIT_BYTES
    }

    /// Returns the bytes left at the end of the stream.
    pub(super) fn take_remaining(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Drops the part of an event at which a stream broke off.
    pub(super) fn drop_partial(&mut self) {
        self.pending.clear();
        self.scanned = 0;
    }
}

/// Returns the length of the first event with its blank line.
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

fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
