//! Measurements of one run of a fleet.

use super::ledger::SpendLedger;

/// Counters of one account.
#[derive(Debug, Default)]
pub struct AccountOutcome {
    /// Requests that arrived after the warm-up.
    pub requests: u64,
    /// Refused requests that arrived after the warm-up.
    pub refused: u64,
    /// Refused requests that the ideal bucket admits.
    pub wrongful: u64,
    /// Refused requests for which the tokens of admitted requests leave room.
    pub wrongful_shadow: u64,
    /// Requests that the ideal bucket refuses, after the warm-up.
    pub ideal_refused: u64,
    /// Tokens spent, by time of admission.
    pub admitted: SpendLedger,
    /// Tokens spent, by time of generation.
    pub generated: SpendLedger,
    /// Largest excess of any window by time of admission, in micro-tokens.
    pub admitted_excess: u64,
    /// Largest excess of any window by time of generation, in micro-tokens.
    pub generated_excess: u64,
}

/// Counters of one run.
#[derive(Debug, Default)]
pub struct FleetOutcome {
    /// Counters of each account.
    pub accounts: Vec<AccountOutcome>,
    /// Bytes of messages between VMs after the warm-up.
    pub bytes: u64,
    /// Messages between VMs after the warm-up.
    pub messages: u64,
    /// Wait of each admitted request, in microseconds.
    pub waits: Vec<u64>,
    /// Time that each finished stream stalled for lack of tokens, in microseconds.
    pub stalls: Vec<u64>,
    /// Admissions that expired before their dispatch.
    pub expired: u64,
    /// Times that an audit found an account over its rate or burst.
    pub audit_breaches: u64,
    /// Length of the run without its warm-up, in microseconds.
    pub measured_time: u64,
    /// Number of VMs at the start.
    pub vms: u64,
}

impl FleetOutcome {
    fn sum(&self, count: impl Fn(&AccountOutcome) -> u64) -> u64 {
        self.accounts.iter().map(count).sum()
    }

    /// Returns the share of requests refused although the ideal bucket admits them.
    #[must_use]
    pub fn wrongful_share(&self) -> f64 {
        share(self.sum(|a| a.wrongful), self.sum(|a| a.requests))
    }

    /// Returns the share of requests refused although admitted tokens leave room.
    #[must_use]
    pub fn wrongful_share_by_run(&self) -> f64 {
        share(self.sum(|a| a.wrongful_shadow), self.sum(|a| a.requests))
    }

    /// Returns the share of requests refused.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        share(self.sum(|a| a.refused), self.sum(|a| a.requests))
    }

    /// Returns the lowest share of any account that isn't wrongfully refused.
    ///
    /// The share is taken of the requests that the ideal bucket admits.
    #[must_use]
    pub fn worst_account(&self) -> f64 {
        self.accounts
            .iter()
            .filter(|account| account.requests > account.ideal_refused)
            .map(|account| 1.0 - share(account.wrongful, account.requests - account.ideal_refused))
            .fold(1.0, f64::min)
    }

    /// Returns the number of accounts over their limit, by time of admission.
    #[must_use]
    pub fn over_limit(&self) -> u64 {
        self.sum(|account| u64::from(account.admitted_excess > 0))
    }

    /// Returns the number of accounts over their limit, by time of generation.
    #[must_use]
    pub fn over_limit_generated(&self) -> u64 {
        self.sum(|account| u64::from(account.generated_excess > 0))
    }

    /// Returns the bytes that a VM sends per second, averaged over VMs and time.
    #[must_use]
    pub fn bytes_per_vm(&self) -> f64 {
        let seconds = self.measured_time as f64 / 1e6;
        self.bytes as f64 / seconds.max(1e-6) / self.vms.max(1) as f64
    }

    /// Returns the 99th percentile of the waits of admitted requests, in milliseconds.
    #[must_use]
    pub fn wait_p99_ms(&self) -> f64 {
        quantile_ms(&self.waits)
    }

    /// Returns the 99th percentile of the stall times of streams, in milliseconds.
    #[must_use]
    pub fn stall_p99_ms(&self) -> f64 {
        quantile_ms(&self.stalls)
    }
}

fn quantile_ms(values: &[u64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() * 99 / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0) as f64 / 1e3
}

/// Returns `part / whole`, or zero if `whole` is zero.
#[must_use]
pub(super) fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
