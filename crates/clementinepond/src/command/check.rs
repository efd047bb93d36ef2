//! `check`: checks a settings file.

use super::CommandError;
use clementinepond_settings::vm::VmSettings;
use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;

/// Options of `check`.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    /// Print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Settings file.
    #[options(required, meta = "FILE", help = "settings to check")]
    pub(crate) settings: PathBuf,
}

/// Runs the command.
pub(crate) fn run(options: &CheckOptions) -> Result<ExitCode, CommandError> {
    let settings = VmSettings::read_file(&options.settings)?;
    println!(
        "valid: vm={} data_centre={}",
        settings.vm, settings.data_centre
    );
    Ok(ExitCode::SUCCESS)
}
