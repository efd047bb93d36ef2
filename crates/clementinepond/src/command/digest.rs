//! `digest`: prints the digest of a credential.

use super::CommandError;
use clementinepond_daemon::key_digest;
use gumdrop::Options;
use std::io::Read;
use std::process::ExitCode;

/// Options of `digest`.
#[derive(Debug, Options)]
pub(crate) struct DigestOptions {
    /// Print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
}

/// Runs the command.
pub(crate) fn run(_options: &DigestOptions) -> Result<ExitCode, CommandError> {
    let mut credential = String::new();
    std::io::stdin().read_to_string(&mut credential)?;
    let credential = credential.trim();
    if credential.is_empty() {
        return Err(CommandError::usage(
            "standard input is empty; send the credential, like: clementinepond digest < FILE",
        ));
    }
    println!("{}", key_digest(credential));
    Ok(ExitCode::SUCCESS)
}
