//! `soak`: injects seeded faults into deployments of real entry VMs.

use super::CommandError;
use clementinepond_soak::{SoakOptions, run_soak};
use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Inject seeded faults into a deployment of entry VMs and check the answers to callers.
#[derive(Debug, Options)]
pub(crate) struct SoakCommand {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// First seed; the others follow it.
    #[options(no_short, meta = "SEED", default = "1", help = "first seed")]
    pub(crate) first: u64,
    /// Number of seeds, each of which is one run.
    #[options(
        no_short,
        meta = "N",
        default = "5",
        help = "number of seeds, one run each"
    )]
    pub(crate) seeds: u64,
    /// Number of concurrent runs; 0 counts as 1.
    #[options(
        no_short,
        meta = "N",
        default = "2",
        help = "number of concurrent runs"
    )]
    pub(crate) jobs: usize,
    /// Time within which faults start, in seconds.
    #[options(
        no_short,
        meta = "S",
        default = "4",
        help = "seconds within which faults start"
    )]
    pub(crate) seconds: u64,
    /// Folder for settings and logs; each seed gets a subfolder.
    #[options(
        no_short,
        meta = "DIR",
        default = "target/soak",
        help = "folder for settings and logs of the runs, with a subfolder per seed"
    )]
    pub(crate) output: PathBuf,
}

pub(crate) fn run(options: &SoakCommand) -> Result<ExitCode, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let failed_seeds = runtime.block_on(run_seeds(options))?;
    println!(
        "{} seeds, {failed_seeds} with a violated guarantee",
        options.seeds
    );
    Ok(if failed_seeds == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn run_seeds(options: &SoakCommand) -> Result<u64, CommandError> {
    let program = std::env::current_exe()?;
    let seeds: Vec<u64> = (options.first..options.first + options.seeds).collect();
    let mut failed_seeds = 0;
    for batch in seeds.chunks(options.jobs.max(1)) {
        let mut runs = Vec::new();
        for &seed in batch {
            let options = SoakOptions {
                seed,
                fault_window: Duration::from_secs(options.seconds),
                program: program.clone(),
                folder: options.output.join(seed.to_string()),
            };
            runs.push(tokio::spawn(async move { run_soak(&options).await }));
        }
        for run in runs {
            let report = run
                .await
                .map_err(|error| CommandError::failed(&error.to_string()))?
                .map_err(|error| CommandError::failed(&error.to_string()))?;
            println!(
                "seed={} calls={} served={} faults={} broken={}",
                report.seed,
                report.calls,
                report.served,
                report.faults.len(),
                report.violations.len()
            );
            if report.violations.is_empty() {
                continue;
            }
            failed_seeds += 1;
            for line in report
                .faults
                .iter()
                .chain(report.violations.iter().take(20))
            {
                println!("  {line}");
            }
        }
    }
    Ok(failed_seeds)
}
