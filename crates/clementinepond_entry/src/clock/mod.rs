//! Clock that keeps running while the VM is suspended.

use clementinepond_types::LocalTime;
use rustix::time::{ClockId, clock_gettime};

/// Boot-time clock, used for deadlines and leases.
///
/// The timers of a suspended VM fire late. Since this clock counts the suspension,
/// deadlines and leases that expired in the meantime are recognized as expired.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BootClock;

impl BootClock {
    pub(crate) fn now() -> LocalTime {
        let time = clock_gettime(ClockId::Boottime);
        let micros = time.tv_sec.unsigned_abs() * 1_000_000 + time.tv_nsec.unsigned_abs() / 1_000;
        LocalTime::from_micros(micros)
    }
}
