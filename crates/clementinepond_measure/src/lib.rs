//! Experiments that run the real decision code in virtual time.
//!
//! Each experiment has a folder under `experiment` and one entry in
//! [`experiment::EXPERIMENTS`]. The same seed gives the same report, byte for
//! byte.

pub mod experiment;
mod report;

pub use report::{ExperimentReport, MeasureTable, TargetResult};
