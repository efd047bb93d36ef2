//! The listener for callers.
//!
//! Callers speak the usual inference API with bearer keys. The key is hashed
//! as soon as it is read and goes no further than that.

mod admission;
mod answer;
mod error_body;
mod inference;
mod parse;
mod router;
mod service;
mod state;

pub(crate) use router::caller_router;
pub(crate) use state::CallerState;
