//! Experiments that run the production decision code in virtual time.
//!
//! Each experiment has a folder under `experiment` and at least one entry in
//! [`experiment::EXPERIMENTS`]. The same seed gives the same report, byte for
//! byte, except in experiments that measure wall-clock time (`capacity` and
//! `placement-time`).

pub mod experiment;
mod report;

pub use report::{ExperimentReport, MeasureTable, TargetResult};
