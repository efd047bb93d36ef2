//! Buckets of all accounts at one VM.

use super::AccountBucket;
use crate::fleet::AccountPolicy;
use clementinepond_types::{AccountId, LocalTime, TimeSpan};
use fnv::FnvHashMap;

/// Answer to a request's cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaVerdict {
    /// The request is within the quota; the units are taken.
    Within,
    /// The request is over the quota.
    Over {
        /// Time after which the units will be there.
        retry_after: TimeSpan,
    },
}

/// Quota state of one account at one VM.
#[derive(Debug, Clone)]
struct AccountUse {
    bucket: AccountBucket,
    /// Units admitted here since the process started.
    admitted: f64,
}

/// Buckets of all accounts at one VM.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    accounts: FnvHashMap<AccountId, AccountUse>,
    /// Part of the rate that the VMs in contact may use together.
    refill_part: f64,
}

impl QuotaLedger {
    /// Makes an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self {
            accounts: FnvHashMap::default(),
            refill_part: 1.0,
        }
    }

    /// Sets the part of each rate that the VMs in contact may use.
    pub fn set_contact(&mut self, heard: usize, known: usize, now: LocalTime) {
        let part = (heard + 1) as f64 / (known.max(heard) + 1) as f64;
        if part != self.refill_part {
            for account in self.accounts.values_mut() {
                account.bucket.refill(self.refill_part, now);
            }
            self.refill_part = part;
        }
    }

    /// Charges a request.
    pub fn charge(&mut self, policy: &AccountPolicy, units: f64, now: LocalTime) -> QuotaVerdict {
        if policy.rate_per_s <= 0.0 {
            return QuotaVerdict::Within;
        }
        let part = self.refill_part;
        let account = self
            .accounts
            .entry(policy.id.clone())
            .or_insert_with(|| AccountUse {
                bucket: AccountBucket::new(policy.rate_per_s, policy.burst, now),
                admitted: 0.0,
            });
        account.bucket.refill(part, now);
        account.bucket.set_quota(policy.rate_per_s, policy.burst);
        if account.bucket.take(units) {
            account.admitted += units;
            return QuotaVerdict::Within;
        }
        let retry_after = account.bucket.time_until(units);
        QuotaVerdict::Over { retry_after }
    }

    /// Gives back the units of a request that has not run.
    pub fn refund(&mut self, id: &AccountId, units: f64) {
        if let Some(account) = self.accounts.get_mut(id) {
            account.bucket.give_back(units);
            account.admitted -= units;
        }
    }

    /// Counts units admitted at a peer since its last news.
    pub fn note_remote(&mut self, id: &AccountId, units: f64, now: LocalTime) {
        let part = self.refill_part;
        if let Some(account) = self.accounts.get_mut(id) {
            account.bucket.refill(part, now);
            account.bucket.take_remote(units);
        }
    }

    /// Takes over a peer's level when this VM has just started.
    pub fn adopt(&mut self, policy: &AccountPolicy, level: f64, now: LocalTime) {
        let account = self
            .accounts
            .entry(policy.id.clone())
            .or_insert_with(|| AccountUse {
                bucket: AccountBucket::new(policy.rate_per_s, policy.burst, now),
                admitted: 0.0,
            });
        account.bucket.lower_to(level);
    }

    /// Returns each account with the units admitted here and the bucket's level.
    pub fn admitted(&self) -> impl Iterator<Item = (&AccountId, f64, f64)> {
        self.accounts
            .iter()
            .map(|(id, account)| (id, account.admitted, account.bucket.level()))
    }
}
