//! Faults found in settings, and the reader that collects all of them.

mod reader;
mod setting_fault;

pub(crate) use reader::read_object;
pub use setting_fault::{FaultList, SettingFault};
