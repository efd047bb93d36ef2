//! Attempts at endpoints and the pool of connections to them.

mod attempt;
mod pool;
mod pooled_connection;

pub(crate) use attempt::{
    AnswerConnection, Attempt, AttemptAnswer, AttemptContent, AttemptFailure, OutgoingRequest,
    accept, exchange, send_directly, start_attempt,
};
pub(crate) use pool::{ConnectionPool, PoolKey};
pub(crate) use pooled_connection::{PooledConnection, ReuseRule};
