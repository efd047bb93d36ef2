//! A whole deployment in one process, on loopback.
//!
//! The platform, the endpoints and the VMs listen on free ports and talk over
//! real sockets. The `demo` command and the end-to-end tests run on it.

mod deployment;
mod fleet;

pub use deployment::{DemoOptions, DemoReport, Deployment, OverheadReport, run_demo, run_overhead};
pub use fleet::{AdminAnswer, FleetError, FleetPlan, OPERATOR_CREDENTIAL, RunningFleet, RunningVm};
