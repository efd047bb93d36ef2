//! Settings of a VM and configuration of the fleet.
//!
//! The settings file holds what belongs to a single VM, such as its name, its
//! data centre, its addresses and its timeouts. The fleet configuration holds
//! what all VMs share; the platform stores it and operators change it through
//! the administration API. Reading either collects many faults in one run
//! instead of stopping at the first.

mod fault;
pub mod fleet;
pub mod vm;

pub use fault::{FaultList, SettingFault};
