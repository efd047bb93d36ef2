//! Messages for the person who runs the command.

use std::io::Write;

/// Prints a message to standard error.
pub(crate) fn print_error(message: &str) {
    // A closed standard error leaves nowhere to report the failure.
    let _ = writeln!(std::io::stderr(), "clementinepond: {message}");
}
