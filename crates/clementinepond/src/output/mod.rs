//! What the command prints: messages, logs and exit codes.

mod log_line;
mod message;

pub(crate) use log_line::open_log;
pub(crate) use message::report;

/// Exit code when a run failed or a must-hold broke.
pub(crate) const EXIT_FAILURE: u8 = 1;
/// Exit code for a wrong command line or wrong settings.
pub(crate) const EXIT_USAGE: u8 = 2;
