//! What one run of a fleet showed.

use super::ledger::SpendLedger;

/// Counts of one account.
#[derive(Debug, Default)]
pub struct AccountOutcome {
    /// Requests after the warm-up.
    pub requests: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests refused that the ideal bucket admits.
    pub wrongful: u64,
    /// Requests refused although the tokens actually run leave room.
    pub wrongful_shadow: u64,
    /// Requests that the ideal bucket refuses.
    pub ideal_refused: u64,
    /// Tokens by the moment of admission.
    pub admitted: SpendLedger,
    /// Tokens by the moment of generation.
    pub generated: SpendLedger,
    /// Largest excess of any window by admission, in micro-tokens.
    pub admitted_excess: u64,
    /// Largest excess of any window by generation, in micro-tokens.
    pub generated_excess: u64,
}

/// Counts of one run.
#[derive(Debug, Default)]
pub struct FleetOutcome {
    /// Counts by account.
    pub accounts: Vec<AccountOutcome>,
    /// Bytes of messages between VMs.
    pub bytes: u64,
    /// Messages between VMs.
    pub messages: u64,
    /// Waits of admitted requests, in microseconds.
    pub waits: Vec<u64>,
    /// Times that streams stood still for lack of tokens, in microseconds.
    pub stalls: Vec<u64>,
    /// Admissions that lapsed before their dispatch.
    pub expired: u64,
    /// Audits that found more rights than an account has.
    pub audit_breaches: u64,
    /// Length of the measured time, in microseconds.
    pub measured_time: u64,
    /// VMs at the start.
    pub vms: u64,
}

impl FleetOutcome {
    fn sum(&self, count: impl Fn(&AccountOutcome) -> u64) -> u64 {
        self.accounts.iter().map(count).sum()
    }

    /// Returns the share of requests refused although inside the rate.
    #[must_use]
    pub fn wrongful_share(&self) -> f64 {
        share(self.sum(|a| a.wrongful), self.sum(|a| a.requests))
    }

    /// Returns the same share, judged by the tokens actually run.
    #[must_use]
    pub fn wrongful_share_by_run(&self) -> f64 {
        share(self.sum(|a| a.wrongful_shadow), self.sum(|a| a.requests))
    }

    /// Returns the share of requests refused.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        share(self.sum(|a| a.refused), self.sum(|a| a.requests))
    }

    /// Returns the share of requests served for the worst-served account,
    /// of those that the ideal bucket admits.
    #[must_use]
    pub fn worst_account(&self) -> f64 {
        self.accounts
            .iter()
            .filter(|account| account.requests > account.ideal_refused)
            .map(|account| 1.0 - share(account.wrongful, account.requests - account.ideal_refused))
            .fold(1.0, f64::min)
    }

    /// Returns the accounts that ran more than their limit allows, judged by
    /// the moment of admission.
    #[must_use]
    pub fn over_limit(&self) -> u64 {
        self.sum(|account| u64::from(account.admitted_excess > 0))
    }

    /// Returns the same, judged by the moment of generation.
    #[must_use]
    pub fn over_limit_generated(&self) -> u64 {
        self.sum(|account| u64::from(account.generated_excess > 0))
    }

    /// Returns bytes a second and VM.
    #[must_use]
    pub fn bytes_per_vm(&self) -> f64 {
        let seconds = self.measured_time as f64 / 1e6;
        self.bytes as f64 / seconds.max(1e-6) / self.vms.max(1) as f64
    }

    /// Returns the wait that 99 in 100 admitted requests stay within, in
    /// milliseconds.
    #[must_use]
    pub fn wait_p99_ms(&self) -> f64 {
        quantile_ms(&self.waits)
    }

    /// Returns the stall that 99 in 100 streams stay within, in milliseconds.
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

/// Returns `part / whole`, or zero.
#[must_use]
pub(super) fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
