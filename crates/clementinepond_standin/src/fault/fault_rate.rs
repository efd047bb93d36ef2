//! A fault that triggers the next calls or a share of all calls.

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

const PER_MILLE: u32 = 1_000;

/// Whether a fault triggers a call: the next `next` calls for certain, and
/// `per_mille` of the others by chance.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultRate {
    /// Calls that are struck for certain, counted down.
    pub next: u32,
    /// Calls out of 1,000 that are struck by chance.
    pub per_mille: u32,
}

impl FaultRate {
    /// Strikes the next calls only.
    #[must_use]
    pub const fn next(count: u32) -> Self {
        Self {
            next: count,
            per_mille: 0,
        }
    }

    /// Strikes a share of the calls.
    #[must_use]
    pub const fn per_mille(share: u32) -> Self {
        Self {
            next: 0,
            per_mille: share,
        }
    }

    /// Strikes every call.
    #[must_use]
    pub const fn always() -> Self {
        Self::per_mille(PER_MILLE)
    }

    pub(crate) fn triggers(&mut self, random: &mut impl Rng) -> bool {
        if self.next > 0 {
            self.next -= 1;
            return true;
        }
        self.per_mille > 0 && random.random_range(0..PER_MILLE) < self.per_mille
    }
}
