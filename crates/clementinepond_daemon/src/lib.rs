//! The edges of a VM: listeners, clients and the task that runs the reducer.
//!
//! The decisions are made in `clementinepond_decide`; this crate reads
//! clocks, sockets and random numbers, turns what it reads into events and
//! carries out the effects.

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
