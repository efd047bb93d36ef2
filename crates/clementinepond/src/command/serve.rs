//! `serve`: runs a VM of the full system.

use super::CommandError;
use crate::output::init_logging;
use clementinepond_daemon::RunningDaemon;
use clementinepond_settings::vm::VmSettings;
use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Run a VM of the full system.
#[derive(Debug, Options)]
pub(crate) struct ServeOptions {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Path of the settings file of this VM.
    #[options(required, meta = "FILE", help = "settings file of this VM")]
    pub(crate) settings: PathBuf,
}

pub(crate) fn run(options: &ServeOptions) -> Result<ExitCode, CommandError> {
    let settings = VmSettings::read_file(&options.settings)?;
    init_logging(&settings.telemetry.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: VmSettings) -> Result<ExitCode, CommandError> {
    let stopping = CancellationToken::new();
    let daemon = RunningDaemon::start(settings, stopping.clone()).await?;
    println!(
        "caller={} admin={}",
        daemon.caller_address(),
        daemon.admin_address()
    );
    wait_for_signal().await?;
    stopping.cancel();
    daemon.wait().await;
    Ok(ExitCode::SUCCESS)
}

/// Waits for SIGTERM or SIGINT.
pub(super) async fn wait_for_signal() -> Result<(), CommandError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => log::info!("event=stop_requested signal=term"),
        _ = interrupt.recv() => log::info!("event=stop_requested signal=int"),
    }
    Ok(())
}
