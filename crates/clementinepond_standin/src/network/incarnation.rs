//! Incarnation numbers of endpoints.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds, which is larger than the incarnation
/// of any earlier process unless the clock was set back.
pub(crate) fn first_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(1, |time| time.as_millis());
    u64::try_from(millis).unwrap_or(1)
}
