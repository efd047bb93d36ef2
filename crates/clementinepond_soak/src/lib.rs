//! Randomized soak of real entry VMs.
//!
//! A run starts entry VMs as separate processes in front of stand-ins, injects
//! faults from outside (signals, loopback proxies, failing stand-ins) by a
//! seeded schedule, and checks what callers and endpoints see. The seed fixes
//! the schedule; the interleaving of processes is the machine's.

mod callers;
mod check;
mod error;
mod fault;
mod process;
mod proxy;
mod run;
mod world;

pub use error::SoakError;
pub use run::{SoakOptions, SoakReport, run_soak};
