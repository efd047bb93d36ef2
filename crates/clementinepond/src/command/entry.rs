//! `entry`: runs one entry VM in front of a hosted fleet.

use super::CommandError;
use clementinepond_entry::{open_log, run_entry};
use gumdrop::Options;
use log::LevelFilter;
use std::path::PathBuf;
use std::process::ExitCode;

/// Options of `entry`.
#[derive(Debug, Options)]
pub(crate) struct EntryOptions {
    /// Print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Settings file.
    #[options(
        required,
        meta = "FILE",
        help = "settings of this VM, JSON with comments"
    )]
    pub(crate) settings: PathBuf,
    /// Log level.
    #[options(
        no_short,
        meta = "LEVEL",
        default = "info",
        help = "least level of log lines: error, warn, info, debug or trace"
    )]
    pub(crate) log_level: LevelFilter,
}

/// Runs the command.
pub(crate) fn run(options: &EntryOptions) -> Result<ExitCode, CommandError> {
    open_log(options.log_level);
    run_entry(&options.settings)?;
    Ok(ExitCode::SUCCESS)
}
