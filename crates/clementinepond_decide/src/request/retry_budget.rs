//! Retry budget: limits retries to a percentage of requests.
//!
//! Each request adds a fraction of a retry to the budget, up to a small
//! maximum; each retry takes one retry from it. When many endpoints fail, the
//! budget is exhausted and failed requests end at once, since retries would only
//! add load.

/// Budget units of one retry; 100, so that a request adds `percent` units.
const UNITS_PER_RETRY: u64 = 100;
/// Largest number of retries that the budget can hold.
const MAX_RESERVED_RETRIES: u64 = 50;

/// Budget that limits retries to a percentage of requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    units: u64,
    percent: u64,
}

impl RetryBudget {
    /// Creates a full budget, to which each request adds `percent` hundredths of a
    /// retry.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            units: MAX_RESERVED_RETRIES * UNITS_PER_RETRY,
            percent: u64::from(percent),
        }
    }

    /// Adds the fraction of a retry that one request earns.
    pub fn deposit(&mut self) {
        let limit = MAX_RESERVED_RETRIES * UNITS_PER_RETRY;
        self.units = (self.units + self.percent).min(limit);
    }

    /// Takes one retry from the budget; returns whether there was one.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let left = self.units.checked_sub(UNITS_PER_RETRY);
        self.units = left.unwrap_or(self.units);
        left.is_some()
    }
}
