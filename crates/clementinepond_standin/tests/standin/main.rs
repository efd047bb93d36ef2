//! Tests of the stand-ins over TCP sockets.

#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod client;
mod engine;
mod engine_faults;
mod load;
mod platform;
mod service;
