//! Unit of load on accelerators.

use derive_more::{Add, AddAssign, Display, FromStr, Sum};
use serde::{Deserialize, Serialize};

/// Load, in thousandths of one fully used accelerator.
#[derive(
    Debug,
    Display,
    FromStr,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Add,
    AddAssign,
    Sum,
    Serialize,
    Deserialize,
)]
#[display("{_0}mAcc")]
#[serde(transparent)]
pub struct ComputeLoad(u64);

impl ComputeLoad {
    /// No load.
    pub const ZERO: Self = Self(0);

    /// Creates a load from thousandths of an accelerator.
    #[must_use]
    pub const fn from_milli(milli: u64) -> Self {
        Self(milli)
    }

    /// Creates a load from whole accelerators.
    #[must_use]
    pub const fn accelerators(count: u64) -> Self {
        Self(count.saturating_mul(1_000))
    }

    /// Returns the load in thousandths of an accelerator.
    #[must_use]
    pub const fn milli(self) -> u64 {
        self.0
    }
}
