//! HTTP API for callers.
//!
//! Callers use the OpenAI-compatible inference API with bearer keys. A key is
//! hashed as soon as it is read; only its digest is passed on.

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
