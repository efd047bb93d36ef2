//! Rate at which an endpoint takes requests.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Error for a text that is not a rate.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("{text:?} is not a rate; state a decimal number of requests a second, like \"1.8\"")]
pub struct RateError {
    /// Invalid text.
    pub text: Box<str>,
}

/// Requests a second, kept in thousandths.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{}", self.per_second())]
#[serde(transparent)]
pub struct SendRate(u32);

impl SendRate {
    /// Returns the requests a second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

impl FromStr for SendRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number: f64 = text.trim().parse().unwrap_or(f64::NAN);
        if !number.is_finite() || number < 0.0 {
            return Err(RateError { text: text.into() });
        }
        // The conversion saturates; a larger rate limits nothing.
        Ok(Self((number * 1e3) as u32))
    }
}
