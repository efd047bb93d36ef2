//! Logger that never blocks the VM.
//!
//! Lines are buffered and written when standard output accepts them without blocking. The
//! buffer and the number of lines per second are limited; dropped lines are counted and
//! reported before the next line that is logged.

use log::{LevelFilter, Log, Metadata, Record};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::fmt::Write;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Buffer size above which lines are dropped.
const BUFFER_LIMIT_BYTES: usize = 128 * 1024;
/// Maximum number of lines per second; a VM completes some tens of requests per second.
const LINES_PER_SECOND: u32 = 400;
/// Number of bytes that a pipe accepts without blocking once it polls as writable.
const PIPE_CHUNK_BYTES: usize = 4_096;

#[derive(Debug, Default)]
struct SinkState {
    buffer: Vec<u8>,
    /// Current second, in Unix time.
    second: u64,
    /// Lines logged in the current second.
    lines: u32,
    /// Lines dropped and not reported yet.
    dropped: u64,
}

/// Logger that buffers lines for standard output.
#[derive(Debug, Default)]
pub struct LogSink {
    state: Mutex<SinkState>,
}

static SINK: LogSink = LogSink {
    state: Mutex::new(SinkState {
        buffer: Vec::new(),
        second: 0,
        lines: 0,
        dropped: 0,
    }),
};

/// Installs the logger with a maximum level; has no effect if a logger is installed already.
pub fn init_logging(level: LevelFilter) {
    if log::set_logger(&SINK).is_ok() {
        log::set_max_level(level);
    }
}

/// Writes as many buffered bytes as standard output accepts without blocking.
pub(crate) fn flush_log() {
    SINK.flush();
}

impl Log for LogSink {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("clementinepond")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let Ok(mut state) = self.state.lock() else {
            return;
        };
        if state.second != since_epoch.as_secs() {
            state.second = since_epoch.as_secs();
            state.lines = 0;
        }
        if state.lines >= LINES_PER_SECOND || state.buffer.len() > BUFFER_LIMIT_BYTES {
            state.dropped += 1;
            return;
        }
        state.lines += 1;
        let mut line = String::with_capacity(200);
        let level = match record.level() {
            log::Level::Error => "error",
            log::Level::Warn => "warn",
            log::Level::Info => "info",
            log::Level::Debug => "debug",
            log::Level::Trace => "trace",
        };
        let seconds = since_epoch.as_secs();
        let millis = since_epoch.subsec_millis();
        // Writing to a string cannot fail.
        if state.dropped > 0 {
            let dropped = std::mem::take(&mut state.dropped);
            let _ = writeln!(
                line,
                "time={seconds}.{millis:03} level=warn event=log_lines_dropped count={dropped}"
            );
        }
        let _ = writeln!(
            line,
            "time={seconds}.{millis:03} level={level} {}",
            record.args()
        );
        state.buffer.extend_from_slice(line.as_bytes());
    }

    fn flush(&self) {
        let Ok(mut state) = self.state.lock() else {
            return;
        };
        let output = rustix::stdio::stdout();
        while !state.buffer.is_empty() {
            let mut ready = [PollFd::new(&output, PollFlags::OUT)];
            let now = Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            };
            let is_writable = poll(&mut ready, Some(&now)).is_ok_and(|count| count > 0);
            if !is_writable {
                return;
            }
            let chunk = state.buffer.len().min(PIPE_CHUNK_BYTES);
            match rustix::io::write(output, &state.buffer[..chunk]) {
                Ok(written) => {
                    state.buffer.drain(..written);
                }
                Err(_) => return,
            }
        }
    }
}
