//! Ages of events in messages; clocks of different VMs cannot be compared.

use clementinepond_types::{LocalTime, TimeSpan};

/// Returns the age of an event, as messages state it.
pub(super) fn age_ms(at: LocalTime, now: LocalTime) -> u32 {
    u32::try_from(now.since(at).millis()).unwrap_or(u32::MAX)
}

/// Returns the time of an event whose age a message states.
pub(super) fn time_before(now: LocalTime, age_ms: u32) -> LocalTime {
    let age = TimeSpan::from_millis(age_ms.into());
    LocalTime::from_micros(now.micros().saturating_sub(age.micros()))
}
