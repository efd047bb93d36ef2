//! The list of experiments.

pub mod capacity;
pub mod claims;
pub mod config;
pub mod crash;
pub mod limits;
pub mod placement;
pub mod roster;
pub mod routing;

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
        name: "limits-scale",
        about: "messages of the limits with 8 and 64 VMs",
        run: limits::run_scale,
    },
    ExperimentEntry {
        name: "limits-fleet",
        about: "messages of the limits with 390 VMs; takes minutes",
        run: limits::run_fleet,
    },
    ExperimentEntry {
        name: "roster",
        about: "membership under faults: parts in use, platform calls, bytes between VMs",
        run: roster::run,
    },
    ExperimentEntry {
        name: "config",
        about: "changes and withdrawn keys on their way to every VM, with a relay lost and cuts",
        run: config::run,
    },
    ExperimentEntry {
        name: "claims",
        about: "keyed calls: runs beyond one, platform writes, cost of faults",
        run: claims::run,
    },
    ExperimentEntry {
        name: "crash",
        about: "poison requests: endpoints lost, innocent requests refused",
        run: crash::run,
    },
    ExperimentEntry {
        name: "routing",
        about: "both bounds and prefix reuse at 80% of capacity, reports that lag",
        run: routing::run,
    },
    ExperimentEntry {
        name: "placement",
        about: "attainment and moves of the plan while demand moves tenfold within the hour",
        run: placement::run,
    },
    ExperimentEntry {
        name: "placement-recovery",
        about: "1,000 schedules in which the plan holder is killed in the middle of its moves",
        run: placement::run_recovery,
    },
    ExperimentEntry {
        name: "placement-time",
        about: "time of one plan; read from this machine's clock, so not repeatable",
        run: placement::run_time,
    },
    ExperimentEntry {
        name: "capacity",
        about: "control cost of one VM by size; read from this machine's clock, so not repeatable",
        run: capacity::run,
    },
];

/// Finds an experiment by name.
#[must_use]
pub fn find(name: &str) -> Option<&'static ExperimentEntry> {
    EXPERIMENTS.iter().find(|entry| entry.name == name)
}
