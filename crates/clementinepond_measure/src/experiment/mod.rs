//! The list of experiments.

pub mod limits;

use crate::ExperimentReport;

/// One experiment that can be run by name.
#[derive(Debug, Clone, Copy)]
pub struct ExperimentEntry {
    /// Name on the command line.
    pub name: &'static str,
    /// One line for `measure list`.
    pub about: &'static str,
    /// Runs the experiment with a seed.
    pub run: fn(u64) -> ExperimentReport,
}

/// Every experiment, in the order of `measure list`.
pub const EXPERIMENTS: &[ExperimentEntry] = &[
    ExperimentEntry {
        name: "limits",
        about: "rate and burst over all VMs: refusals inside the rate, the worst-served account",
        run: limits::run,
    },
    ExperimentEntry {
        name: "limits_scale",
        about: "messages of the limits with 8 and 64 VMs",
        run: limits::run_scale,
    },
    ExperimentEntry {
        name: "limits_fleet",
        about: "messages of the limits with 390 VMs; takes minutes",
        run: limits::run_fleet,
    },
];

/// Finds an experiment by name.
#[must_use]
pub fn find(name: &str) -> Option<&'static ExperimentEntry> {
    EXPERIMENTS.iter().find(|entry| entry.name == name)
}
