//! Retry budget.
//!
//! In any window, the retries of all VMs together must not exceed a share of their
//! requests plus a fixed allowance. Each VM limits its retries to that share of its own
//! requests plus an equal part of the allowance, so that VMs need not coordinate.

use clementinepond_types::{LocalTime, TimeSpan};
use std::collections::VecDeque;

/// Share of the configured budget that a VM uses; the rest covers clock differences and
/// messages in transit at the boundary of a window.
const BUDGET_SAFETY_SHARE: f64 = 0.8;

/// Retry budget of one VM for one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio: f64,
    allowance: f64,
    window: TimeSpan,
    requests: VecDeque<LocalTime>,
    retries: VecDeque<LocalTime>,
}

impl RetryBudget {
    /// Creates a budget: over all VMs, retries may reach `ratio` of the requests plus
    /// `allowance` within `window`.
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

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: LocalTime) {
        self.requests.push_back(now);
        self.remove_expired(now);
    }

    /// Takes one retry if the budget allows it in a fleet of `vms` VMs; returns whether
    /// it did.
    pub fn take_retry(&mut self, vms: usize, now: LocalTime) -> bool {
        self.remove_expired(now);
        let share = self.allowance / vms.max(1) as f64;
        let allowed = BUDGET_SAFETY_SHARE * (self.ratio * self.requests.len() as f64 + share);
        if (self.retries.len() + 1) as f64 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn remove_expired(&mut self, now: LocalTime) {
        let window = self.window;
        let is_expired = |at: &LocalTime| now.since(*at) > window;
        while self.requests.front().is_some_and(is_expired) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_expired) {
            self.retries.pop_front();
        }
    }
}
