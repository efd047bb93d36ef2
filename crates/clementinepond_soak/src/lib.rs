//! Randomized soak test of entry VMs in separate processes.
//!
//! A run starts entry VMs in front of stand-ins, injects faults from outside
//! (signals, loopback proxies, failing stand-ins) by a seeded schedule, and checks
//! what callers and endpoints see. The seed determines the schedule, but not how the
//! operating system interleaves the processes.

mod callers;
mod check;
mod deployment;
mod error;
mod fault;
mod process;
mod run;

pub use error::SoakError;
pub use run::{SoakOptions, SoakReport, run_soak};
