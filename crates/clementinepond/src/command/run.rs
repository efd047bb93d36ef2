//! Dispatch of the command line to the commands.

use super::command_line::Command;
use super::{CommandError, CommandLine, entry};
#[cfg(feature = "suite")]
use super::{check, demo, digest, load, measure, model, reference, serve, soak, stand_in, status};
use gumdrop::Options;
use std::process::ExitCode;

/// Runs the command given on the command line.
pub(crate) fn run(line: CommandLine) -> Result<ExitCode, CommandError> {
    if line.version {
        println!("clementinepond {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    match line.command {
        None => Err(CommandError::usage(&help())),
        Some(Command::Entry(options)) => entry::run(&options),
        #[cfg(feature = "suite")]
        Some(Command::Serve(options)) => serve::run(&options),
        #[cfg(feature = "suite")]
        Some(Command::Check(options)) => check::run(&options),
        #[cfg(feature = "suite")]
        Some(Command::Demo(options)) => demo::run(&options),
        #[cfg(feature = "suite")]
        Some(Command::StandIn(options)) => stand_in::run(&options),
        #[cfg(feature = "suite")]
        Some(Command::Soak(options)) => soak::run(&options),
        #[cfg(feature = "suite")]
        Some(Command::Load(options)) => load::run(&options),
        #[cfg(feature = "suite")]
        Some(Command::Model(options)) => model::run(&options),
        #[cfg(feature = "suite")]
        Some(Command::Measure(options)) => measure::run(&options),
        #[cfg(feature = "suite")]
        Some(Command::Status(options)) => status::run(&options),
        #[cfg(feature = "suite")]
        Some(Command::Reference(options)) => reference::run(&options),
        #[cfg(feature = "suite")]
        Some(Command::Digest(options)) => digest::run(&options),
    }
}

fn help() -> String {
    let commands = CommandLine::command_list().unwrap_or_default();
    format!(
        "no command given; use one of those below\n\nUsage: clementinepond [OPTIONS] COMMAND\n\n{}\n\nCommands:\n{commands}",
        CommandLine::usage()
    )
}
