//! `check`: checks a settings file.

use super::CommandError;
use clementinepond_entry::{EntryError, EntrySettings};
use clementinepond_settings::vm::VmSettings;
use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;

/// Check a settings file and report its errors.
#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Whether the file holds settings of an entry VM.
    #[options(no_short, help = "treat the file as settings of an entry VM")]
    pub(crate) entry: bool,
    /// Path of the settings file.
    #[options(required, meta = "FILE", help = "settings file to check")]
    pub(crate) settings: PathBuf,
}

pub(crate) fn run(options: &CheckOptions) -> Result<ExitCode, CommandError> {
    if options.entry {
        let settings = EntrySettings::read_file(&options.settings).map_err(EntryError::from)?;
        println!(
            "valid: vm={} data_centre={}",
            settings.vm, settings.data_centre
        );
        return Ok(ExitCode::SUCCESS);
    }
    let settings = VmSettings::read_file(&options.settings)?;
    println!(
        "valid: vm={} data_centre={}",
        settings.vm, settings.data_centre
    );
    Ok(ExitCode::SUCCESS)
}
