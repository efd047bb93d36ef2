//! Numbers of the lives of an endpoint.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns a number larger than that of any earlier process.
pub(crate) fn first_incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(1, |time| time.as_millis());
    u64::try_from(millis).unwrap_or(1)
}
