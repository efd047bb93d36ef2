//! What the command prints: messages, logs and exit codes.

#[cfg(feature = "suite")]
mod log_line;
mod message;

#[cfg(feature = "suite")]
pub(crate) use log_line::open_log;
pub(crate) use message::print_error;

/// Exit code when a run failed or a must-hold broke.
pub(crate) const EXIT_FAILURE: u8 = 1;
/// Exit code for a wrong command line or wrong settings.
pub(crate) const EXIT_USAGE: u8 = 2;
