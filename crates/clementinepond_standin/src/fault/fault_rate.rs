//! Rate of a fault: a number of next calls, a random share of calls, or both.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

const PER_MILLE: u32 = 1_000;

/// Selects the calls that a fault affects: the next `next` calls, and a random
/// `per_mille` share of the calls after them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRate {
    /// Number of next calls that are always affected; decremented with each one.
    pub next: u32,
    /// Share of the other calls that is affected at random, out of 1,000; from
    /// 1,000 on, every call is affected.
    pub per_mille: u32,
}

impl FaultRate {
    /// Affects only the next `count` calls.
    #[must_use]
    pub const fn next(count: u32) -> Self {
        Self {
            next: count,
            per_mille: 0,
        }
    }

    /// Affects a random share of the calls, out of 1,000.
    #[must_use]
    pub const fn per_mille(share: u32) -> Self {
        Self {
            next: 0,
            per_mille: share,
        }
    }

    /// Affects every call.
    #[must_use]
    pub const fn always() -> Self {
        Self::per_mille(PER_MILLE)
    }

    /// Returns whether the fault affects this call, and decrements `next`.
    pub(crate) fn triggers(&mut self, random: &mut impl Rng) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.per_mille > 0 && random.random_range(0..PER_MILLE) < self.per_mille
    }
}
