//! Log lines of `key=value` pairs.

use env_logger::{Builder, Target};
use std::io::Write;

/// Starts logging to standard error.
///
/// Lines below `level` and lines of third-party crates are dropped. Has no effect
/// when a logger is already installed.
pub(crate) fn init_logging(level: &str) {
    let mut builder = Builder::new();
    builder
        .parse_filters(&format!("off,clementinepond={level},clementinepond_daemon={level},clementinepond_standin={level}"))
        .target(Target::Stderr)
        .format(|buffer, record| {
            let time = buffer.timestamp_millis();
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(buffer, "time={time} level={level} {}", record.args())
        });
    if builder.try_init().is_err() {
        log::debug!("event=log_kept reason=already_open");
    }
}
