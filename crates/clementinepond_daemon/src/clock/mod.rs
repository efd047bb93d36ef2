//! Local monotonic clock.

mod local_clock;

pub(crate) use local_clock::LocalClock;
