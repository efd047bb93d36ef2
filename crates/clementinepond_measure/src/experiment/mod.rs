//! The list of experiments.

pub mod config;
pub mod roster;

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
        name: "roster",
        about: "membership under faults: parts in use, time until they are back, platform calls, bytes",
        run: roster::run,
    },
    ExperimentEntry {
        name: "config",
        about: "changes and withdrawn keys on their way to every VM, with a relay lost and cuts",
        run: config::run,
    },
];

/// Finds an experiment by name.
#[must_use]
pub fn find(name: &str) -> Option<&'static ExperimentEntry> {
    EXPERIMENTS.iter().find(|entry| entry.name == name)
}
