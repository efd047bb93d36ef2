//! Idle connection to an endpoint, and when it may be reused.
//!
//! A connection leaves the pool for one request and returns only after a complete answer.
//! In all other cases it is closed.

use crate::http::Connection;
use clementinepond_types::{LocalTime, TimeSpan};

/// Fraction of the endpoint's idle timeout within which a connection is reused, so that the
/// endpoint does not close it at the same time.
const REUSE_FRACTION: (u64, u64) = (6, 10);
/// Fraction of the idle timeout for requests that must not be sent twice.
const SINGLE_SEND_REUSE_FRACTION: (u64, u64) = (3, 10);
/// Idle time within which a connection is reused if the endpoint stated no timeout.
const DEFAULT_REUSE_TIMEOUT: TimeSpan = TimeSpan::from_millis(250);

/// Rule for the idle time up to which a connection is reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReuseRule {
    /// The request may be sent again if it is lost.
    Retryable,
    /// The request must not be sent twice.
    Once,
}

/// Idle connection in the pool.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) connection: Connection,
    idle_since: LocalTime,
    /// Idle timeout that the endpoint stated, if any.
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

    /// Returns whether the rule allows another request on the connection.
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
