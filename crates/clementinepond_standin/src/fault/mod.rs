//! How often a fault triggers.

mod fault_rate;

pub use fault_rate::FaultRate;
