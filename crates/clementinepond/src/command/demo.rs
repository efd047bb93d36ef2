//! `demo`: runs a complete deployment in this process.

use super::CommandError;
use crate::output::{EXIT_FAILURE, init_logging};
use clementinepond_demo::{DemoOptions, DemoReport, Deployment, run_demo, run_overhead};
use clementinepond_types::TimeSpan;
use gumdrop::Options;
use std::process::ExitCode;

/// Run a complete deployment with simulated callers in this process.
#[derive(Debug, Options)]
pub(crate) struct DemoCommand {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Name of the deployment to run.
    #[options(
        no_short,
        meta = "NAME",
        default = "mizuhara",
        help = "deployment to run: mizuhara or skjabord"
    )]
    pub(crate) deployment: String,
    /// Time during which callers send requests, in seconds.
    #[options(
        meta = "N",
        default = "15",
        help = "seconds during which callers send requests"
    )]
    pub(crate) seconds: u64,
    /// Requests per second over all callers.
    #[options(
        meta = "N",
        default = "60",
        help = "requests per second over all callers"
    )]
    pub(crate) rate: f64,
    /// Seed from which the requests are generated.
    #[options(
        no_short,
        meta = "N",
        default = "1",
        help = "seed from which the requests are generated"
    )]
    pub(crate) seed: u64,
    /// Whether to measure the overhead of a VM instead of running the deployment.
    #[options(
        no_short,
        help = "measure the overhead of a VM over direct calls to an engine instead"
    )]
    pub(crate) overhead: bool,
    /// Minimum severity of log lines.
    #[options(
        no_short,
        meta = "LEVEL",
        default = "off",
        help = "minimum severity of log lines"
    )]
    pub(crate) log_level: String,
}

pub(crate) fn run(command: &DemoCommand) -> Result<ExitCode, CommandError> {
    let deployment: Deployment = command.deployment.parse().map_err(|_| {
        CommandError::usage("the deployment is unknown; set --deployment to mizuhara or skjabord")
    })?;
    if command.seconds == 0 || !command.rate.is_finite() || command.rate <= 0.0 {
        return Err(CommandError::usage(
            "--seconds or --rate is not above 0; set both to numbers above 0",
        ));
    }
    init_logging(&command.log_level);
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
        .map_err(|error| CommandError::failed(&format!("{error}; report this as a bug")))?;
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
            "{name:12} answered {} of {}, first token p50 {} p95 {}, complete answer p50 {} p95 {}",
            load.answered,
            load.sent,
            load.first_token.p50,
            load.first_token.p95,
            load.whole.p50,
            load.whole.p95
        );
    }
    let line = serde_json::to_string(&report)
        .map_err(|error| CommandError::failed(&format!("{error}; report this as a bug")))?;
    println!("{line}");
    Ok(ExitCode::SUCCESS)
}

fn print_results(report: &DemoReport) {
    println!("answered completely      {:.4}", report.answered_share);
    println!("worst-served account     {:.4}", report.worst_account);
    println!("wrongful refusals        {}", report.wrongful_refusals);
    println!(
        "attainment/accelerator   {:.3} answers/s",
        report.attainment_per_accelerator
    );
    println!("model moves              {}", report.moves);
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
