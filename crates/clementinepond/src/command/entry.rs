//! `entry`: runs an entry VM in front of a hosted fleet.

use super::CommandError;
use clementinepond_entry::{init_logging, run_entry};
use gumdrop::Options;
use log::LevelFilter;
use std::path::PathBuf;
use std::process::ExitCode;

/// Run an entry VM in front of a hosted fleet.
#[derive(Debug, Options)]
pub(crate) struct EntryOptions {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Path of the settings file of this VM.
    #[options(
        required,
        meta = "FILE",
        help = "settings file of this VM, JSON with comments"
    )]
    pub(crate) settings: PathBuf,
    /// Minimum severity of log lines.
    #[options(
        no_short,
        meta = "LEVEL",
        default = "info",
        help = "minimum severity of log lines: off, error, warn, info, debug or trace"
    )]
    pub(crate) log_level: LevelFilter,
}

pub(crate) fn run(options: &EntryOptions) -> Result<ExitCode, CommandError> {
    init_logging(options.log_level);
    run_entry(&options.settings)?;
    Ok(ExitCode::SUCCESS)
}
