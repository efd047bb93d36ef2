//! Readings of the clock that runs through suspension.

use clementinepond_types::LocalTime;
use rustix::time::{ClockId, clock_gettime};

/// Clock of deadlines and authority.
///
/// A suspended VM wakes up with its timers late; since this clock went on,
/// what lapsed meanwhile is seen as lapsed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BootClock;

impl BootClock {
    pub(crate) fn now() -> LocalTime {
        let time = clock_gettime(ClockId::Boottime);
        let micros = time.tv_sec.unsigned_abs() * 1_000_000 + time.tv_nsec.unsigned_abs() / 1_000;
        LocalTime::from_micros(micros)
    }
}
