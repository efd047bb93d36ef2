//! Token counts and token rates.
//!
//! Token buckets refill by fractions of a token, so counts are stored in
//! micro-tokens. Rounding never grants more than the exact amount: token counts
//! are rounded down and waiting times are rounded up.

use crate::time::TimeSpan;
use derive_more::{Add, AddAssign, Display, Error, Sum};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;

/// Micro-tokens per token.
const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;

/// Error for a text that is not a valid quantity.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{text:?} is not {expected}; write it like {example:?}")]
pub struct QuantityError {
    /// Invalid text.
    pub text: Box<str>,
    /// Expected kind of quantity, with its article.
    pub expected: &'static str,
    /// Example of a valid text.
    pub example: &'static str,
}

/// Number of tokens, stored in micro-tokens.
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
pub struct TokenCount(u64);

impl TokenCount {
    /// Zero tokens.
    pub const ZERO: Self = Self(0);

    /// Creates a count from whole tokens.
    #[must_use]
    pub const fn new(tokens: u64) -> Self {
        Self(tokens.saturating_mul(MICRO_TOKENS_PER_TOKEN))
    }

    /// Creates a count from micro-tokens.
    #[must_use]
    pub const fn from_micro(micro: u64) -> Self {
        Self(micro)
    }

    /// Returns the count in micro-tokens.
    #[must_use]
    pub const fn micro(self) -> u64 {
        self.0
    }

    /// Returns the count in whole tokens, rounded down.
    #[must_use]
    pub const fn whole(self) -> u64 {
        self.0 / MICRO_TOKENS_PER_TOKEN
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns `numerator / denominator` of the count, rounded down; zero for a zero denominator.
    #[must_use]
    pub fn fraction(self, numerator: u64, denominator: u64) -> Self {
        Self(scale(self.0, numerator, denominator))
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_micro(formatter, self.0)?;
        formatter.write_str("tok")
    }
}

impl FromStr for TokenCount {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        read_micro(text, "tok")
            .map(Self)
            .ok_or_else(|| QuantityError {
                text: text.into(),
                expected: "a token count",
                example: "8192tok",
            })
    }
}

/// Tokens per second, stored in micro-tokens per second.
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
pub struct TokenRate(u64);

impl TokenRate {
    /// Zero tokens per second.
    pub const ZERO: Self = Self(0);

    /// Creates a rate from whole tokens per second.
    #[must_use]
    pub const fn new(tokens_per_second: u64) -> Self {
        Self(tokens_per_second.saturating_mul(MICRO_TOKENS_PER_TOKEN))
    }

    /// Creates a rate from micro-tokens per second.
    #[must_use]
    pub const fn from_micro(micro_per_second: u64) -> Self {
        Self(micro_per_second)
    }

    /// Returns the rate in micro-tokens per second.
    #[must_use]
    pub const fn micro(self) -> u64 {
        self.0
    }

    /// Returns the tokens that accrue within `span`, rounded down.
    #[must_use]
    pub fn accrue(self, span: TimeSpan) -> TokenCount {
        TokenCount(scale(self.0, span.micros(), 1_000_000))
    }

    /// Returns the time in which `count` accrues, rounded up to microseconds.
    ///
    /// Returns `None` when the rate is zero and `count` is not.
    #[must_use]
    pub fn time_for(self, count: TokenCount) -> Option<TimeSpan> {
        if count.0 == 0 {
            return Some(TimeSpan::ZERO);
        }
        if self.0 == 0 {
            return None;
        }
        let micros = (u128::from(count.0) * 1_000_000).div_ceil(u128::from(self.0));
        Some(TimeSpan::from_micros(
            u64::try_from(micros).unwrap_or(u64::MAX),
        ))
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns `numerator / denominator` of the rate, rounded down; zero for a zero denominator.
    #[must_use]
    pub fn fraction(self, numerator: u64, denominator: u64) -> Self {
        Self(scale(self.0, numerator, denominator))
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_micro(formatter, self.0)?;
        formatter.write_str("tok/s")
    }
}

impl FromStr for TokenRate {
    type Err = QuantityError;

    fn from_str(text: &str) -> Result<Self, QuantityError> {
        read_micro(text, "tok/s")
            .map(Self)
            .ok_or_else(|| QuantityError {
                text: text.into(),
                expected: "a token rate",
                example: "1200tok/s",
            })
    }
}

fn scale(value: u64, numerator: u64, denominator: u64) -> u64 {
    if denominator == 0 {
        return 0;
    }
    let scaled = u128::from(value) * u128::from(numerator) / u128::from(denominator);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

fn write_micro(formatter: &mut fmt::Formatter<'_>, micro: u64) -> fmt::Result {
    let whole = micro / MICRO_TOKENS_PER_TOKEN;
    let rest = micro % MICRO_TOKENS_PER_TOKEN;
    if rest == 0 {
        return write!(formatter, "{whole}");
    }
    let digits = format!("{rest:06}");
    write!(formatter, "{whole}.{}", digits.trim_end_matches('0'))
}

fn read_micro(text: &str, unit: &str) -> Option<u64> {
    let number = text.strip_suffix(unit).unwrap_or(text).trim();
    let (whole, rest) = number.split_once('.').unwrap_or((number, ""));
    if rest.len() > 6 || !rest.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    if whole.is_empty() || !whole.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let whole: u64 = whole.parse().ok()?;
    let rest: u64 = format!("{rest:0<6}").parse().ok()?;
    whole.checked_mul(MICRO_TOKENS_PER_TOKEN)?.checked_add(rest)
}
