//! `digest`: prints the digest of a credential.

use super::CommandError;
use clementinepond_daemon::key_digest;
use gumdrop::Options;
use std::io::Read;
use std::process::ExitCode;

/// Print the digest of a credential read from standard input.
#[derive(Debug, Options)]
pub(crate) struct DigestOptions {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
}

pub(crate) fn run(_options: &DigestOptions) -> Result<ExitCode, CommandError> {
    let mut credential = String::new();
    std::io::stdin().read_to_string(&mut credential)?;
    let credential = credential.trim();
    if credential.is_empty() {
        return Err(CommandError::usage(
            "standard input is empty; pass the credential on it, as in: clementinepond digest < FILE",
        ));
    }
    println!("{}", key_digest(credential));
    Ok(ExitCode::SUCCESS)
}
