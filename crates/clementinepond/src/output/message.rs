//! Messages to a person.

use std::io::Write;

/// Prints a message on standard error.
pub(crate) fn print_error(message: &str) {
    // Nothing can be done when standard error is closed.
    let _ = writeln!(std::io::stderr(), "clementinepond: {message}");
}
