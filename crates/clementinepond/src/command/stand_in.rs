//! `stand-in`: runs a stand-in for an external system.

use super::CommandError;
use super::assignment::{assign, list};
use crate::output::init_logging;
use clementinepond_standin::engine::{EngineOptions, EngineServer};
use clementinepond_standin::platform::{PlatformOptions, PlatformServer};
use clementinepond_standin::service::{ServiceOptions, ServiceServer};
use gumdrop::Options;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio_util::sync::CancellationToken;

/// Run a stand-in for a platform, engine or service.
#[derive(Debug, Options)]
pub(crate) struct StandInOptions {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Kind of the stand-in: `platform`, `engine` or `service`.
    #[options(free, help = "kind of the stand-in: platform, engine or service")]
    pub(crate) kind: Option<String>,
    /// Address to listen on; any free port if absent.
    #[options(
        meta = "IP:PORT",
        help = "address to listen on; any free port if absent"
    )]
    pub(crate) listen: Option<SocketAddr>,
    /// Options and faults to set, as `path=value`.
    #[options(
        no_short,
        meta = "PATH=VALUE",
        help = "set an option or fault, like faults.late_by=2s; 'list' lists them; can be repeated"
    )]
    pub(crate) set: Vec<String>,
    /// Minimum severity of log lines.
    #[options(
        no_short,
        meta = "LEVEL",
        default = "info",
        help = "minimum severity of log lines"
    )]
    pub(crate) log_level: String,
}

pub(crate) fn run(options: &StandInOptions) -> Result<ExitCode, CommandError> {
    let kind = options.kind.as_deref().unwrap_or_default();
    if options.set.iter().any(|set| set == "list") {
        let lines = match kind {
            "platform" => list::<PlatformOptions>()?,
            "engine" => list::<EngineOptions>()?,
            "service" => list::<ServiceOptions>()?,
            _ => return Err(unknown_kind()),
        };
        print!("{lines}");
        return Ok(ExitCode::SUCCESS);
    }
    init_logging(&options.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(kind, options))
}

async fn serve(kind: &str, options: &StandInOptions) -> Result<ExitCode, CommandError> {
    let cancel = CancellationToken::new();
    let to_error =
        |error: clementinepond_standin::StandinError| CommandError::failed(&error.to_string());
    let mut assignments = options.set.clone();
    if let Some(listen) = options.listen {
        assignments.push(format!("listen={listen}"));
    }
    // Dropping a server stops it; these bindings keep it until this function returns.
    let (_platform, _engine, _service);
    let address = match kind {
        "platform" => {
            let options: PlatformOptions = assign(&assignments)?;
            let server = PlatformServer::start(options, cancel.clone())
                .await
                .map_err(to_error)?;
            let address = server.address();
            _platform = server;
            address
        }
        "engine" => {
            let options: EngineOptions = assign(&assignments)?;
            let server = EngineServer::start(options, cancel.clone())
                .await
                .map_err(to_error)?;
            let address = server.address();
            _engine = server;
            address
        }
        "service" => {
            let options: ServiceOptions = assign(&assignments)?;
            let server = ServiceServer::start(options, cancel.clone())
                .await
                .map_err(to_error)?;
            let address = server.address();
            _service = server;
            address
        }
        _ => return Err(unknown_kind()),
    };
    println!("address={address}");
    super::serve::wait_for_signal().await?;
    cancel.cancel();
    Ok(ExitCode::SUCCESS)
}

fn unknown_kind() -> CommandError {
    CommandError::usage(
        "the kind of the stand-in is missing or unknown; use platform, engine or service",
    )
}
