//! `measure`: runs an experiment in simulated time.

use super::CommandError;
use crate::output::EXIT_FAILURE;
use clementinepond_measure::ExperimentReport;
use clementinepond_measure::experiment::{EXPERIMENTS, find};
use gumdrop::Options;
use std::process::ExitCode;

/// Run an experiment in simulated time.
#[derive(Debug, Options)]
pub(crate) struct MeasureOptions {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Experiment to run; `list` or none prints the experiments.
    #[options(free, help = "experiment to run, or list to print them (default)")]
    pub(crate) name: Option<String>,
    /// Seed of the random number generator.
    #[options(
        meta = "N",
        default = "1",
        help = "seed of the random number generator"
    )]
    pub(crate) seed: u64,
}

pub(crate) fn run(options: &MeasureOptions) -> Result<ExitCode, CommandError> {
    let name = options.name.as_deref().unwrap_or("list");
    if name == "list" {
        for entry in EXPERIMENTS {
            println!("{:16} {}", entry.name, entry.about);
        }
        return Ok(ExitCode::SUCCESS);
    }
    let entry = find(name).ok_or_else(|| {
        CommandError::usage(&format!(
            "experiment {name} is unknown; 'clementinepond measure list' lists the known ones"
        ))
    })?;
    let report = (entry.run)(options.seed);
    print_targets(&report);
    let line = serde_json::to_string(&report)
        .map_err(|error| CommandError::failed(&format!("{error}; report this as a bug")))?;
    println!("{line}");
    if report.is_sound() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(EXIT_FAILURE))
    }
}

fn print_targets(report: &ExperimentReport) {
    for target in &report.targets {
        let verdict = if target.met { "met" } else { "missed" };
        println!(
            "{verdict:7} {}: {:.6} (bound {})",
            target.name, target.value, target.bound
        );
    }
    for (name, count) in &report.violations {
        println!(
            "{:7} {name}: {count}",
            if *count == 0 { "held" } else { "broken" }
        );
    }
}
