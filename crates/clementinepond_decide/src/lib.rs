//! The decisions of a VM, without I/O, clocks, randomness or threads.
//!
//! Each subsystem is a module. Most are reducers of the same structure:
//! `event.rs` defines the inputs, `effect.rs` the actions for the I/O layer to
//! carry out, `state.rs` the state, and `reduce.rs` the function that applies an
//! event to the state and returns effects. The time is an argument of that
//! function; random seeds arrive inside events.

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
