//! Rates at which faults are injected.

mod fault_rate;

pub use fault_rate::FaultRate;
