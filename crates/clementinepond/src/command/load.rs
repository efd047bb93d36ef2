//! `load`: generates load.

use super::CommandError;
use super::assignment::{assign, list};
use crate::output::EXIT_FAILURE;
use clementinepond_standin::load::{LoadCaller, LoadOptions, LoadTarget, run_load};
use clementinepond_types::TimeSpan;
use gumdrop::Options;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio_util::sync::CancellationToken;

/// Send requests at a fixed rate, without waiting for answers.
#[derive(Debug, Options)]
pub(crate) struct LoadCommand {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// VMs that get the requests in turn; none leaves the default of the options.
    #[options(
        meta = "IP:PORT",
        help = "VM to send requests to; can be repeated, then VMs take turns"
    )]
    pub(crate) target: Vec<SocketAddr>,
    /// Models and adapters to request.
    #[options(meta = "NAME", help = "model or adapter to request; can be repeated")]
    pub(crate) model: Vec<String>,
    /// Requests per second.
    #[options(meta = "N", default = "10", help = "requests per second")]
    pub(crate) rate: f64,
    /// Time during which requests are sent, in seconds.
    #[options(
        meta = "N",
        default = "10",
        help = "seconds during which requests are sent"
    )]
    pub(crate) seconds: u64,
    /// Seed from which the requests are generated.
    #[options(
        no_short,
        meta = "N",
        default = "1",
        help = "seed from which the requests are generated"
    )]
    pub(crate) seed: u64,
    /// Further options, as `path=value`.
    #[options(
        no_short,
        meta = "PATH=VALUE",
        help = "set another option, like timeout=30s; 'list' lists them; can be repeated"
    )]
    pub(crate) set: Vec<String>,
}

/// Generates the load with the key in the environment variable `CLEMENTINEPOND_KEY`.
///
/// Without that variable the callers of the options are used.
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
        "load: {} requests per second for {}",
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
        "complete answer p50 {} p95 {} p99 {}",
        report.whole.p50, report.whole.p95, report.whole.p99
    );
    let line = serde_json::to_string(&report)
        .map_err(|error| CommandError::failed(&format!("{error}; report this as a bug")))?;
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
        return Err(CommandError::usage("no model given; name one with --model"));
    }
    options.rate = command.rate;
    options.duration = TimeSpan::from_secs(command.seconds);
    options.seed = command.seed;
    Ok(options)
}
