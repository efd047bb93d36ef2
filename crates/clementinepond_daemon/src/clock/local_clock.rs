//! Readings of the monotonic clock.

use clementinepond_types::{LocalTime, TimeSpan};
use std::time::Instant;

/// Clock whose origin is the start of the process.
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
