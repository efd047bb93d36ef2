//! The users' deployments and a run of their workloads.

mod demo;
mod overhead;
mod report;
mod shape;

pub use demo::{DemoOptions, run_demo};
pub use overhead::{OverheadReport, run_overhead};
pub use report::DemoReport;
pub use shape::Deployment;
