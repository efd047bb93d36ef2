//! The decisions of a VM, without I/O, clocks, randomness or threads.
//!
//! Each part of the system is a folder with the same inner shape: `event.rs`
//! holds what can happen to it, `effect.rs` what it asks its edge to do,
//! `state.rs` what it remembers and `reduce.rs` the function from an event to
//! effects. Time and random seeds arrive inside events.

pub mod claim;
pub mod configuration;
pub mod crash;
pub mod limit;
pub mod node;
pub mod plan;
pub mod port;
pub mod request;
pub mod roster;
pub mod route;
