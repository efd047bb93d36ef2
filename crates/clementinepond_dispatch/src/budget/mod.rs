//! Budget for sending a request more than once.
//!
//! Repeats over all VMs must stay below a share of the requests plus a fixed
//! allowance in any window. A VM uses its own requests for the share and an
//! even part of the allowance, so that no message is needed.

use clementinepond_types::{LocalTime, TimeSpan};
use std::collections::VecDeque;

/// Share of the stated budget that a VM uses; the rest covers clocks and
/// messages that cross a window's edge.
const BUDGET_SAFETY_SHARE: f64 = 0.8;

/// Budget of one VM for one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    allowance: f64,
    window: TimeSpan,
    requests: VecDeque<LocalTime>,
    retries: VecDeque<LocalTime>,
}

impl RetryBudget {
    /// Makes a budget: repeats may reach `ratio` of the requests plus
    /// `allowance` within `window`, over all VMs.
    #[must_use]
    pub const fn new(ratio: f64, allowance: f64, window: TimeSpan) -> Self {
        Self {
            ratio,
            allowance,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: LocalTime) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Takes one repeat, if the budget allows it with `vms` VMs in the fleet.
    pub fn take_retry(&mut self, vms: usize, now: LocalTime) -> bool {
        self.forget(now);
        let share = self.allowance / vms.max(1) as f64;
        let allowed = BUDGET_SAFETY_SHARE * (self.ratio * self.requests.len() as f64 + share);
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn forget(&mut self, now: LocalTime) {
        let window = self.window;
        let is_old = |at: &LocalTime| now.since(*at) > window;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_old) {
            self.retries.pop_front();
        }
    }
}
