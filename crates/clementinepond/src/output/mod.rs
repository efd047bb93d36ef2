//! Output of the command: messages, log lines and exit codes.

#[cfg(feature = "suite")]
mod log_line;
mod message;

#[cfg(feature = "suite")]
pub(crate) use log_line::init_logging;
pub(crate) use message::print_error;

/// Exit code when a run failed or violated an invariant.
pub(crate) const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid command line or invalid settings.
pub(crate) const EXIT_USAGE: u8 = 2;
