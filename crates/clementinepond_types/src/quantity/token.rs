//! Token counts and token rates.
//!
//! Buckets refill by fractions of a token, so counts are kept in
//! micro-tokens and every rounding goes against the spender.

use crate::time::TimeSpan;
use derive_more::{Add, AddAssign, Display, Error, Sum};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;

/// Micro-tokens in one token.
const MICRO_TOKENS_PER_TOKEN: u64 = 1_000_000;

/// Reason for which a quantity was refused.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{text:?} is not {expected}; write it like {example:?}")]
pub struct QuantityError {
    /// Text that was read.
    pub text: Box<str>,
    /// Kind of quantity that was expected.
    pub expected: &'static str,
    /// Example of the accepted form.
    pub example: &'static str,
}

/// Number of tokens, kept in micro-tokens.
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
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// Counts whole tokens.
    #[must_use]
    pub const fn new(tokens: u64) -> Self {
        Self(tokens.saturating_mul(MICRO_TOKENS_PER_TOKEN))
    }

    /// Counts micro-tokens.
    #[must_use]
    pub const fn from_micro(micro: u64) -> Self {
        Self(micro)
    }

    /// Returns the count in micro-tokens.
    #[must_use]
    pub const fn micro(self) -> u64 {
        self.0
    }

    /// Returns whole tokens, rounded down.
    #[must_use]
    pub const fn whole(self) -> u64 {
        self.0 / MICRO_TOKENS_PER_TOKEN
    }

    /// Subtracts, stopping at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns `numerator / denominator` of the count, rounded down.
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

/// Tokens a second, kept in micro-tokens a second.
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
    /// No tokens a second.
    pub const ZERO: Self = Self(0);

    /// Counts whole tokens a second.
    #[must_use]
    pub const fn new(tokens_per_second: u64) -> Self {
        Self(tokens_per_second.saturating_mul(MICRO_TOKENS_PER_TOKEN))
    }

    /// Counts micro-tokens a second.
    #[must_use]
    pub const fn from_micro(micro_per_second: u64) -> Self {
        Self(micro_per_second)
    }

    /// Returns micro-tokens a second.
    #[must_use]
    pub const fn micro(self) -> u64 {
        self.0
    }

    /// Returns the tokens that accrue over a span, rounded down.
    #[must_use]
    pub fn accrue(self, span: TimeSpan) -> TokenCount {
        TokenCount(scale(self.0, span.micros(), 1_000_000))
    }

    /// Returns the span after which `count` has accrued, rounded up.
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

    /// Subtracts, stopping at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns `numerator / denominator` of the rate, rounded down.
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
