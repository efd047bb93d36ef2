//! Budget that keeps retries a share of the requests.
//!
//! Each request adds a fraction of a retry up to a small reserve; each retry
//! takes a whole one. When endpoints fail in numbers, the budget runs dry and
//! requests end at once, where retries would only add load.

/// Parts of one retry.
const PARTS_PER_RETRY: u64 = 100;
/// Most retries held in reserve.
const RESERVE_RETRIES: u64 = 50;

/// Budget that keeps retries a share of the requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    parts: u64,
    percent: u64,
}

impl RetryBudget {
    /// Starts with a full reserve.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            parts: RESERVE_RETRIES * PARTS_PER_RETRY,
            percent: u64::from(percent),
        }
    }

    /// Adds the share of one request.
    pub fn deposit(&mut self) {
        let limit = RESERVE_RETRIES * PARTS_PER_RETRY;
        self.parts = (self.parts + self.percent).min(limit);
    }

    /// Takes one retry, if there is one.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        let left = self.parts.checked_sub(PARTS_PER_RETRY);
        self.parts = left.unwrap_or(self.parts);
        left.is_some()
    }
}
