//! Attempts at endpoints and the pool of connections to them.

mod attempt;
mod pool;
mod pooled_connection;

pub(crate) use attempt::{Attempt, AttemptAnswer, AttemptFailure, OutgoingRequest, start_attempt};
pub(crate) use pool::ConnectionPool;
pub(crate) use pooled_connection::{PooledConnection, ReuseRule};
