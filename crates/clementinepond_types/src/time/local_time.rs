//! Points in time on the monotonic clock of a VM.

use super::TimeSpan;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::ops::Add;

/// Point in time on the local monotonic clock, in microseconds since its origin.
#[derive(
    Debug,
    Display,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}us")]
#[serde(transparent)]
pub struct LocalTime(u64);

impl LocalTime {
    /// Origin of the clock.
    pub const ORIGIN: Self = Self(0);
    /// Latest representable time, used for deadlines that never pass.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a time from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns microseconds since the origin.
    #[must_use]
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time left until `later`, or zero if it has passed.
    #[must_use]
    pub const fn until(self, later: Self) -> TimeSpan {
        later.since(self)
    }
}

impl Add<TimeSpan> for LocalTime {
    type Output = Self;

    fn add(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.micros()))
    }
}
