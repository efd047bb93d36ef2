//! A deployment that runs in this process.

mod client;
mod error;
mod plan;
mod running_fleet;
mod running_vm;

pub use client::AdminAnswer;
pub use error::FleetError;
pub use plan::FleetPlan;
pub use running_fleet::RunningFleet;
pub use running_vm::{OPERATOR_CREDENTIAL, RunningVm};
