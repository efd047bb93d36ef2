//! Command-line program of clementinepond.

mod command;
mod output;

use command::{CommandLine, run};
use gumdrop::Options;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let line = match CommandLine::parse_args_default(&arguments) {
        Ok(line) => line,
        Err(error) => {
            output::print_error(&format!("{error}; see clementinepond --help"));
            return ExitCode::from(output::EXIT_USAGE);
        }
    };
    match run(line) {
        Ok(code) => code,
        Err(error) => {
            output::print_error(&error.to_string());
            ExitCode::from(error.exit_code())
        }
    }
}
