//! Choice of the command.

use super::command_line::Command;
use super::{
    CommandError, CommandLine, check, demo, digest, load, measure, model, reference, serve,
    stand_in, status,
};
use gumdrop::Options;
use std::process::ExitCode;

/// Runs the command that the line names.
pub(crate) fn run(line: CommandLine) -> Result<ExitCode, CommandError> {
    if line.version {
        println!("clementinepond {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    match line.command {
        None => Err(CommandError::usage(&help())),
        Some(Command::Serve(options)) => serve::run(&options),
        Some(Command::Check(options)) => check::run(&options),
        Some(Command::Demo(options)) => demo::run(&options),
        Some(Command::StandIn(options)) => stand_in::run(&options),
        Some(Command::Load(options)) => load::run(&options),
        Some(Command::Model(options)) => model::run(&options),
        Some(Command::Measure(options)) => measure::run(&options),
        Some(Command::Status(options)) => status::run(&options),
        Some(Command::Reference(options)) => reference::run(&options),
        Some(Command::Digest(options)) => digest::run(&options),
    }
}

fn help() -> String {
    let commands = CommandLine::command_list().unwrap_or_default();
    format!(
        "name a command\n\nUsage: clementinepond [OPTIONS] COMMAND\n\n{}\n\nCommands:\n{commands}",
        CommandLine::usage()
    )
}
