//! `demo`: runs a whole deployment in this process.

use super::CommandError;
use crate::output::{EXIT_FAILURE, open_log};
use clementinepond_demo::{DemoOptions, DemoReport, Deployment, run_demo, run_overhead};
use clementinepond_types::TimeSpan;
use gumdrop::Options;
use std::process::ExitCode;

/// Options of `demo`.
#[derive(Debug, Options)]
pub(crate) struct DemoCommand {
    /// Print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// The deployment.
    #[options(
        no_short,
        meta = "NAME",
        default = "mizuhara",
        help = "mizuhara or skjabord"
    )]
    pub(crate) deployment: String,
    /// Time during which callers send.
    #[options(meta = "N", default = "15", help = "seconds during which callers send")]
    pub(crate) seconds: u64,
    /// Requests a second.
    #[options(
        meta = "N",
        default = "60",
        help = "requests a second over all callers"
    )]
    pub(crate) rate: f64,
    /// Seed of the load.
    #[options(no_short, meta = "N", default = "1", help = "seed of the load")]
    pub(crate) seed: u64,
    /// Compare a VM with direct calls.
    #[options(no_short, help = "compare a VM with direct calls of an engine instead")]
    pub(crate) overhead: bool,
    /// Least severe level that is logged.
    #[options(
        no_short,
        meta = "LEVEL",
        default = "off",
        help = "least severe level that is logged"
    )]
    pub(crate) log_level: String,
}

/// Runs the command.
pub(crate) fn run(command: &DemoCommand) -> Result<ExitCode, CommandError> {
    let deployment: Deployment = command
        .deployment
        .parse()
        .map_err(|_| CommandError::usage("--deployment is mizuhara or skjabord"))?;
    if command.seconds == 0 || !command.rate.is_finite() || command.rate <= 0.0 {
        return Err(CommandError::usage(
            "--seconds and --rate are larger than 0",
        ));
    }
    open_log(&command.log_level);
    if command.overhead {
        return measure_overhead(command);
    }
    let options = DemoOptions {
        deployment,
        duration: TimeSpan::from_secs(command.seconds),
        rate: command.rate,
        seed: command.seed,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let report = runtime
        .block_on(run_demo(options, |line| println!("demo: {line}")))
        .map_err(|error| CommandError::failed(&error.to_string()))?;
    print_results(&report);
    let line = serde_json::to_string(&report)
        .map_err(|error| CommandError::failed(&format!("{error}; report this as a fault")))?;
    println!("{line}");
    if report.is_sound() {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(EXIT_FAILURE))
    }
}

fn measure_overhead(command: &DemoCommand) -> Result<ExitCode, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let duration = TimeSpan::from_secs(command.seconds);
    let report = runtime
        .block_on(run_overhead(command.rate, duration, command.seed))
        .map_err(|error| CommandError::failed(&error.to_string()))?;
    for (name, load) in [
        ("direct", &report.direct),
        ("through a VM", &report.through_vm),
    ] {
        println!(
            "{name:12} answered {} of {}, first token p50 {} p95 {}, whole p50 {} p95 {}",
            load.answered,
            load.sent,
            load.first_token.p50,
            load.first_token.p95,
            load.whole.p50,
            load.whole.p95
        );
    }
    let line = serde_json::to_string(&report)
        .map_err(|error| CommandError::failed(&format!("{error}; report this as a fault")))?;
    println!("{line}");
    Ok(ExitCode::SUCCESS)
}

fn print_results(report: &DemoReport) {
    println!("answered whole           {:.4}", report.answered_share);
    println!("worst-served account     {:.4}", report.worst_account);
    println!("wrongful refusals        {}", report.wrongful_refusals);
    println!(
        "attainment/accelerator   {:.3} answers/s",
        report.attainment_per_accelerator
    );
    println!("moves                    {}", report.moves);
    println!("platform calls           {:.1}/s", report.platform_calls);
    println!(
        "first token              p50 {} p95 {}",
        report.load.first_token.p50, report.load.first_token.p95
    );
    println!(
        "between tokens           p50 {} p95 {}",
        report.load.between_tokens.p50, report.load.between_tokens.p95
    );
    for (name, count) in &report.violations {
        println!("{name:24} {count}");
    }
}
