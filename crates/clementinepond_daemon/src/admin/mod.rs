//! HTTP API for operators.

mod change;
mod credential;
mod key;
mod router;
mod state;
mod status;
mod store;

pub(crate) use router::admin_router;
pub(crate) use state::AdminState;
