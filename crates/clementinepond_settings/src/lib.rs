//! Settings of one VM and configuration of the whole fleet.
//!
//! The settings file says what only this VM can know: its name, its data
//! centre and its addresses. Everything that VMs share is the fleet
//! configuration, which the platform holds and the administration API
//! changes. Both are checked whole, so that one run reports every fault.

mod fault;
pub mod fleet;
pub mod vm;

pub use fault::{FaultList, SettingFault};
