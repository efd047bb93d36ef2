//! Monotonic clock of the process.

use clementinepond_types::{LocalTime, TimeSpan};
use std::time::Instant;

/// Monotonic clock that starts at [`LocalTime::ORIGIN`] when it is created.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LocalClock {
    origin: Instant,
}

impl LocalClock {
    pub(crate) fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> LocalTime {
        LocalTime::ORIGIN + TimeSpan::from(self.origin.elapsed())
    }
}
