//! Lengths of time.

use derive_more::{Add, AddAssign, Display, Error, Sum};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// Error for a text that is not a length of time.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display(
    "{text:?} is not a length of time; write a whole number and us, ms, s, min or h, like \"300ms\""
)]
pub struct TimeError {
    /// Invalid text.
    pub text: Box<str>,
}

/// Units in text, with their length in microseconds.
const UNITS: [(&str, u64); 5] = [
    ("us", 1),
    ("ms", 1_000),
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("h", 3_600_000_000),
];

/// Length of time in microseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Add,
    AddAssign,
    Sum,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct TimeSpan(u64);

impl TimeSpan {
    /// Zero length.
    pub const ZERO: Self = Self(0);

    /// Creates a length from microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a length from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Creates a length from seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1_000_000))
    }

    /// Returns the length in microseconds.
    #[must_use]
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the length in milliseconds, rounded down.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns `numerator / denominator` of the length, rounded down.
    ///
    /// A zero denominator counts as 1.
    #[must_use]
    pub fn fraction(self, numerator: u64, denominator: u64) -> Self {
        let scaled = u128::from(self.0) * u128::from(numerator) / u128::from(denominator.max(1));
        Self(u64::try_from(scaled).unwrap_or(u64::MAX))
    }

    /// Converts to a [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }
}

impl From<Duration> for TimeSpan {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_multiple_of(1_000_000) {
            return write!(formatter, "{}s", self.0 / 1_000_000);
        }
        if self.0.is_multiple_of(1_000) {
            return write!(formatter, "{}ms", self.0 / 1_000);
        }
        write!(formatter, "{}us", self.0)
    }
}

impl FromStr for TimeSpan {
    type Err = TimeError;

    fn from_str(text: &str) -> Result<Self, TimeError> {
        UNITS
            .iter()
            .find_map(|(unit, micros)| read_with_unit(text, unit, *micros))
            .map(Self)
            .ok_or_else(|| TimeError { text: text.into() })
    }
}

fn read_with_unit(text: &str, unit: &str, micros: u64) -> Option<u64> {
    let number = text.strip_suffix(unit)?.trim();
    if !number.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    number.parse::<u64>().ok()?.checked_mul(micros)
}
