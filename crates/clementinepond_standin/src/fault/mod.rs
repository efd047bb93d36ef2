//! How often a fault strikes.

mod fault_rate;

pub use fault_rate::FaultRate;
