//! Faults in settings and configurations, and the reader that collects them.

mod reader;
mod setting_fault;

pub(crate) use reader::read_object;
pub use setting_fault::{FaultList, SettingFault};
