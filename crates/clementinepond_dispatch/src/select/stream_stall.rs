//! How long callers wait for the next event of a stream.
//!
//! Answers the load of a crowded model: a request whose first token would come
//! after its caller has left only delays the others, so it is refused at once.

use crate::fleet::RoutePolicy;
use clementinepond_types::TimeSpan;

/// Shortest silence after which a caller abandons a stream; the platform's
/// interface defines it and the two factors below.
const MIN_STALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
/// Tolerated silence in multiples of the route's latency target.
const LATENCY_TARGET_FACTOR: u64 = 4;
/// Tolerated silence in multiples of the route's pause target.
const PAUSE_TARGET_FACTOR: u64 = 8;

/// Returns the silence after which callers abandon a stream.
#[must_use]
pub fn stream_stall_timeout(route: &RoutePolicy) -> TimeSpan {
    let pause = route.pause_target.unwrap_or(TimeSpan::ZERO);
    MIN_STALL_TIMEOUT
        .max(route.latency_target.fraction(LATENCY_TARGET_FACTOR, 1))
        .max(pause.fraction(PAUSE_TARGET_FACTOR, 1))
}
