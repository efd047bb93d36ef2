//! `load`: sends caller traffic.

use super::CommandError;
use super::assignment::{assign, list};
use crate::output::EXIT_FAILURE;
use clementinepond_standin::load::{LoadCaller, LoadOptions, LoadTarget, run_load};
use clementinepond_types::TimeSpan;
use gumdrop::Options;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio_util::sync::CancellationToken;

/// Options of `load`.
#[derive(Debug, Options)]
pub(crate) struct LoadCommand {
    /// Print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// VMs to send to.
    #[options(meta = "IP:PORT", help = "VM to send to; repeatable, in turn")]
    pub(crate) target: Vec<SocketAddr>,
    /// Models to ask for.
    #[options(meta = "NAME", help = "model or adapter to ask for; repeatable")]
    pub(crate) model: Vec<String>,
    /// Requests a second.
    #[options(meta = "N", default = "10", help = "requests a second")]
    pub(crate) rate: f64,
    /// Time during which requests leave.
    #[options(
        meta = "N",
        default = "10",
        help = "seconds during which requests leave"
    )]
    pub(crate) seconds: u64,
    /// Seed of the plan.
    #[options(no_short, meta = "N", default = "1", help = "seed of the plan")]
    pub(crate) seed: u64,
    /// Further options.
    #[options(
        no_short,
        meta = "PATH=VALUE",
        help = "set another option, like timeout=30s; 'list' lists them; repeatable"
    )]
    pub(crate) set: Vec<String>,
}

/// Runs the command; the key comes from CLEMENTINEPOND_KEY.
pub(crate) fn run(command: &LoadCommand) -> Result<ExitCode, CommandError> {
    if command.set.iter().any(|set| set == "list") {
        print!("{}", list::<LoadOptions>()?);
        return Ok(ExitCode::SUCCESS);
    }
    let options = options(command)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    println!(
        "load: {} requests a second for {}",
        options.rate, options.duration
    );
    let report = runtime.block_on(run_load(options, CancellationToken::new()));
    println!("answered {} of {}", report.answered, report.sent);
    println!(
        "first token p50 {} p95 {} p99 {}",
        report.first_token.p50, report.first_token.p95, report.first_token.p99
    );
    println!(
        "between tokens p50 {} p95 {} p99 {}",
        report.between_tokens.p50, report.between_tokens.p95, report.between_tokens.p99
    );
    println!(
        "whole answer p50 {} p95 {} p99 {}",
        report.whole.p50, report.whole.p95, report.whole.p99
    );
    let line = serde_json::to_string(&report)
        .map_err(|error| CommandError::failed(&format!("{error}; report this as a fault")))?;
    println!("{line}");
    if report.wrong == 0 && report.incomplete == 0 {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(EXIT_FAILURE))
    }
}

fn options(command: &LoadCommand) -> Result<LoadOptions, CommandError> {
    let mut options: LoadOptions = assign(&command.set)?;
    if !command.target.is_empty() {
        options.targets.clone_from(&command.target);
    }
    if let Ok(key) = std::env::var("CLEMENTINEPOND_KEY") {
        options.callers = vec![LoadCaller {
            name: "caller".into(),
            key: key.into(),
            weight: 1,
        }];
    }
    for model in &command.model {
        options.models.push(LoadTarget {
            model: model.as_str().into(),
            versions: vec!["1".into()],
            weight: 1,
        });
    }
    if options.models.is_empty() {
        return Err(CommandError::usage("name a model with --model"));
    }
    options.rate = command.rate;
    options.duration = TimeSpan::from_secs(command.seconds);
    options.seed = command.seed;
    Ok(options)
}
