//! Size of limit messages on the wire.

use clementinepond_decide::limit::LimitMessage;

/// Bytes of TCP, IP and framing added to each message.
const FRAME_OVERHEAD_BYTES: u64 = 60;

/// Returns the size of a message in bytes, framing included.
#[must_use]
pub(super) fn size(message: &LimitMessage) -> u64 {
    let body = postcard::to_allocvec(message).map_or(0, |bytes| bytes.len() as u64);
    body + FRAME_OVERHEAD_BYTES
}
