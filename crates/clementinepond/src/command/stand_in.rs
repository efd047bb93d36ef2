//! `stand-in`: runs one stand-in for what surrounds the system.

use super::CommandError;
use super::assignment::{assign, list};
use crate::output::open_log;
use clementinepond_standin::engine::{EngineOptions, EngineServer};
use clementinepond_standin::platform::{PlatformOptions, PlatformServer};
use clementinepond_standin::service::{ServiceOptions, ServiceServer};
use gumdrop::Options;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio_util::sync::CancellationToken;

/// Options of `stand-in`.
#[derive(Debug, Options)]
pub(crate) struct StandInOptions {
    /// Print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Kind of the stand-in.
    #[options(free, help = "platform, engine or service")]
    pub(crate) kind: Option<String>,
    /// Address to listen on.
    #[options(
        meta = "IP:PORT",
        help = "address to listen on; any free port when absent"
    )]
    pub(crate) listen: Option<SocketAddr>,
    /// Options and faults.
    #[options(
        no_short,
        meta = "PATH=VALUE",
        help = "set an option or fault, like faults.late_by=2s; 'list' lists them; repeatable"
    )]
    pub(crate) set: Vec<String>,
    /// Least severe level that is logged.
    #[options(
        no_short,
        meta = "LEVEL",
        default = "info",
        help = "least severe level that is logged"
    )]
    pub(crate) log_level: String,
}

/// Runs the command.
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
    open_log(&options.log_level);
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
    // The server lives until the end of this function.
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
    CommandError::usage("name a stand-in: platform, engine or service")
}
