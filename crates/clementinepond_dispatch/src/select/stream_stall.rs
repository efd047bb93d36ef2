//! Stall timeout of streams: the time without an event after which callers disconnect.
//!
//! Under overload, a request whose first token would come after its caller has
//! disconnected only delays other requests. The timeout lets such requests be refused
//! at once.

use crate::fleet::RoutePolicy;
use clementinepond_types::TimeSpan;

/// Shortest stall timeout. The platform's interface defines it and the two factors
/// below.
const MIN_STALL_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);
/// Stall timeout as a multiple of the route's latency target.
const LATENCY_TARGET_FACTOR: u64 = 4;
/// Stall timeout as a multiple of the route's pause target.
const PAUSE_TARGET_FACTOR: u64 = 8;

/// Returns the time without an event after which callers disconnect from a stream.
#[must_use]
pub fn stream_stall_timeout(route: &RoutePolicy) -> TimeSpan {
    let pause = route.pause_target.unwrap_or(TimeSpan::ZERO);
    MIN_STALL_TIMEOUT
        .max(route.latency_target.fraction(LATENCY_TARGET_FACTOR, 1))
        .max(pause.fraction(PAUSE_TARGET_FACTOR, 1))
}
