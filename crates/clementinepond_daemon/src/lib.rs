//! I/O layer of a VM: listeners, clients and the task that runs the reducer.
//!
//! `clementinepond_decide` makes the decisions. This crate reads clocks, sockets
//! and random numbers, converts the input to events and carries out the effects.

mod admin;
mod caller;
mod clock;
mod configuration;
mod daemon;
mod endpoint;
mod http;
mod node;
mod peer;
mod platform;
mod telemetry;

pub use configuration::key_digest;
pub use daemon::{DaemonError, RunningDaemon};
