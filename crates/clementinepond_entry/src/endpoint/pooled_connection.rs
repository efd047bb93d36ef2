//! Life of a connection to an endpoint.
//!
//! A connection is idle in the pool, then carries one request, and returns
//! only after a whole answer that leaves it clean. Any other end closes it.

use crate::http::Connection;
use clementinepond_types::{LocalTime, TimeSpan};

/// Part of the endpoint's idle timeout within which a connection is reused.
const REUSE_FRACTION: (u64, u64) = (6, 10);
/// The same for requests that must not be sent twice.
const SINGLE_SEND_REUSE_FRACTION: (u64, u64) = (3, 10);
/// Idle time within which a connection without a stated timeout is reused.
const DEFAULT_REUSE_TIMEOUT: TimeSpan = TimeSpan::from_millis(250);

/// How fresh a kept connection has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReuseRule {
    /// A lost request is sent again.
    Retryable,
    /// A lost request stays lost.
    Once,
}

/// An idle connection.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) connection: Connection,
    idle_since: LocalTime,
    stated_timeout: Option<TimeSpan>,
}

impl PooledConnection {
    pub(crate) const fn new(
        connection: Connection,
        stated_timeout: Option<TimeSpan>,
        now: LocalTime,
    ) -> Self {
        Self {
            connection,
            idle_since: now,
            stated_timeout,
        }
    }

    /// Tells whether the connection may carry another request.
    pub(crate) fn is_usable(&self, rule: ReuseRule, now: LocalTime) -> bool {
        if self.connection.sender.is_closed() {
            return false;
        }
        let idle = now.since(self.idle_since);
        let (parts, whole) = match rule {
            ReuseRule::Retryable => REUSE_FRACTION,
            ReuseRule::Once => SINGLE_SEND_REUSE_FRACTION,
        };
        let limit = self
            .stated_timeout
            .map_or(DEFAULT_REUSE_TIMEOUT, |timeout| {
                timeout.fraction(parts, whole)
            });
        idle < limit
    }
}
