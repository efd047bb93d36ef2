//! `model`: model-checks the specifications of the core protocols.

use super::CommandError;
use crate::output::EXIT_FAILURE;
use clementinepond_model::{Bounds, SPECIFICATIONS, SpecificationEntry};
use gumdrop::Options;
use std::process::ExitCode;

/// Model-check the specifications of the core protocols exhaustively.
#[derive(Debug, Options)]
pub(crate) struct ModelOptions {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// Specification to check; `list` prints the specifications, none checks all.
    #[options(
        free,
        help = "specification to check, or list to print them; all if absent"
    )]
    pub(crate) name: Option<String>,
    /// Whether to check within the larger bounds.
    #[options(no_short, help = "check within the larger bounds")]
    pub(crate) large: bool,
    /// Name of the guard to remove from the specification.
    #[options(
        no_short,
        meta = "NAME",
        help = "remove a guard and show the resulting counterexample"
    )]
    pub(crate) mutation: Option<String>,
}

pub(crate) fn run(options: &ModelOptions) -> Result<ExitCode, CommandError> {
    let name = options.name.as_deref();
    if name == Some("list") {
        print_list();
        return Ok(ExitCode::SUCCESS);
    }
    let selected: Vec<&SpecificationEntry> = SPECIFICATIONS
        .iter()
        .filter(|entry| name.is_none_or(|name| name == entry.name))
        .collect();
    if selected.is_empty() {
        return Err(CommandError::usage(
            "the specification is unknown; 'clementinepond model list' lists the known ones",
        ));
    }
    let bounds = if options.large {
        Bounds::Large
    } else {
        Bounds::Small
    };
    let mut is_violated = false;
    for entry in selected {
        let report = entry
            .explore(bounds, options.mutation.as_deref())
            .map_err(|error| CommandError::usage(&error.to_string()))?;
        for size in &report.explorations {
            println!(
                "{}: bounds {}: {} states, depth {}",
                entry.name, size.bounds, size.states, size.depth
            );
        }
        match &report.violation {
            None => println!("{}: every invariant holds", entry.name),
            Some(counterexample) => {
                is_violated = true;
                println!("{}: {counterexample}", entry.name);
            }
        }
    }
    Ok(ExitCode::from(if is_violated { EXIT_FAILURE } else { 0 }))
}

fn print_list() {
    for entry in SPECIFICATIONS {
        println!("{:16} {}", entry.name, entry.about);
        for mutation in entry.mutations {
            println!("    {:28} {}", mutation.name, mutation.about);
        }
    }
}
