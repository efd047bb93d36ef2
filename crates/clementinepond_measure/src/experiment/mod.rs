//! Registry of experiments.

pub mod capacity;
pub mod claims;
pub mod config;
pub mod crash;
pub mod limits;
pub mod placement;
pub mod roster;
pub mod routing;

use crate::ExperimentReport;

/// Experiment that can be run by name.
#[derive(Debug, Clone, Copy)]
pub struct ExperimentEntry {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description shown by `measure list`.
    pub about: &'static str,
    /// Runs the experiment with the given seed.
    pub run: fn(u64) -> ExperimentReport,
}

/// All experiments, in the order of `measure list`.
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
        about: "propagation of changes and withdrawn keys to every VM, with a lost relay and partitions",
        run: config::run,
    },
    ExperimentEntry {
        name: "claims",
        about: "calls with idempotency keys: duplicate runs, platform writes, outcomes under faults",
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
        about: "time of one plan; uses wall-clock time, so not reproducible",
        run: placement::run_time,
    },
    ExperimentEntry {
        name: "capacity",
        about: "cost of one VM's control work by size; uses wall-clock time, so not reproducible",
        run: capacity::run,
    },
];

/// Returns the experiment with the given name.
#[must_use]
pub fn find(name: &str) -> Option<&'static ExperimentEntry> {
    EXPERIMENTS.iter().find(|entry| entry.name == name)
}
