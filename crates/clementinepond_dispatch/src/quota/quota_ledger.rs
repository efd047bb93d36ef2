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

/// Time constant of the demand's moving average, in seconds.
const DEMAND_MEMORY_S: f64 = 2.0;
/// Share of an account's rate from which its demand counts as heavy.
const HEAVY_SHARE: f64 = 0.9;
/// The same in a large fleet, which hears later of a sudden rise.
const LARGE_FLEET_HEAVY_SHARE: f64 = 0.6;
/// Requests that a VM's own share always holds at least.
const SHARE_REQUESTS: f64 = 1.0;
/// Part of the rate that shares use in a large fleet, where each of many VMs
/// rounds up to whole requests and hears of the others once a second.
const LARGE_FLEET_PART: f64 = 0.9;
/// VMs from which a fleet is large.
const LARGE_FLEET: usize = 24;

/// Quota state of one account at one VM.
#[derive(Debug, Clone)]
struct AccountUse {
    bucket: AccountBucket,
    /// Part of the bucket that this VM may use while demand is heavy.
    share: AccountBucket,
    /// Units admitted here since the process started.
    admitted: f64,
    /// Units asked here a second, refused ones included.
    asked_per_s: f64,
    asked_at: LocalTime,
    first_asked_at: LocalTime,
}

impl AccountUse {
    const fn new(policy: &AccountPolicy, now: LocalTime) -> Self {
        Self {
            bucket: AccountBucket::new(policy.rate_per_s, policy.burst, now),
            share: AccountBucket::new(policy.rate_per_s, policy.burst, now),
            admitted: 0.0,
            asked_per_s: 0.0,
            asked_at: now,
            first_asked_at: now,
        }
    }

    /// Returns the demand as of now.
    fn asked(&self, now: LocalTime) -> f64 {
        let seconds = now.since(self.asked_at).micros() as f64 / 1e6;
        self.asked_per_s * (-seconds / DEMAND_MEMORY_S).exp()
    }

    fn note_asked(&mut self, units: f64, now: LocalTime) {
        self.asked_per_s = self.asked(now) + units / DEMAND_MEMORY_S;
        self.asked_at = now;
    }
}

/// Time after an account's first request in which a VM of a large fleet cannot
/// know what others admit; about two rounds of news.
const BLIND_SPAN: TimeSpan = TimeSpan::from_millis(2_500);
/// Even parts of the rate that a VM uses in that time.
const BLIND_SHARES: f64 = 1.5;

/// Figures of one account in this VM's news.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountFigures {
    /// Units admitted here since the process started.
    pub admitted: f64,
    /// Units asked here a second.
    pub asked_per_s: f64,
    /// Level of this VM's copy of the bucket.
    pub level: f64,
}

/// Buckets of all accounts at one VM.
#[derive(Debug, Default)]
pub struct QuotaLedger {
    accounts: FnvHashMap<AccountId, AccountUse>,
    /// Part of the rate that the VMs in contact may use together.
    refill_part: f64,
    is_large: bool,
    /// VMs of the fleet.
    vms: usize,
    /// Units asked a second at the other VMs.
    asked_elsewhere: FnvHashMap<AccountId, f64>,
}

impl QuotaLedger {
    /// Makes an empty ledger.
    #[must_use]
    pub fn new() -> Self {
        Self {
            accounts: FnvHashMap::default(),
            refill_part: 1.0,
            is_large: false,
            vms: 1,
            asked_elsewhere: FnvHashMap::default(),
        }
    }

    /// Sets the part of each rate that the VMs in contact may use.
    pub fn set_contact(&mut self, heard: usize, known: usize, now: LocalTime) {
        self.is_large = known >= LARGE_FLEET;
        self.vms = known.max(heard) + 1;
        let part = (heard + 1) as f64 / (known.max(heard) + 1) as f64;
        if part != self.refill_part {
            for account in self.accounts.values_mut() {
                account.bucket.refill(self.refill_part, now);
            }
            self.refill_part = part;
        }
    }

    /// Charges a request; `is_current` tells whether this VM's knowledge of
    /// its peers' use is up to date.
    pub fn charge(
        &mut self,
        policy: &AccountPolicy,
        units: f64,
        is_current: bool,
        now: LocalTime,
    ) -> QuotaVerdict {
        if policy.rate_per_s <= 0.0 {
            return QuotaVerdict::Within;
        }
        let part = self.refill_part;
        let elsewhere = self.asked_elsewhere.get(&policy.id).copied().unwrap_or(0.0);
        let account = self
            .accounts
            .entry(policy.id.clone())
            .or_insert_with(|| AccountUse::new(policy, now));
        account.note_asked(units, now);
        account.bucket.refill(part, now);
        account.bucket.set_quota(policy.rate_per_s, policy.burst);
        let own = account.asked(now);
        let heavy_share = if self.is_large {
            LARGE_FLEET_HEAVY_SHARE
        } else {
            HEAVY_SHARE
        };
        let is_heavy = own + elsewhere > heavy_share * policy.rate_per_s;
        // Under heavy demand with stale knowledge of peers' use, each VM is limited
        // to its part of the demand.
        let is_blind = self.is_large && now.since(account.first_asked_at) < BLIND_SPAN;
        let fraction = if is_current {
            1.0
        } else if is_blind {
            (BLIND_SHARES / self.vms as f64).min(1.0)
        } else if is_heavy {
            own / (own + elsewhere)
        } else {
            1.0
        };
        let share_burst = (policy.burst * fraction).max(SHARE_REQUESTS * units);
        let caution = if is_heavy && self.is_large && !is_blind && !is_current {
            LARGE_FLEET_PART
        } else {
            1.0
        };
        account
            .share
            .set_quota(policy.rate_per_s * fraction * caution, share_burst);
        account.share.refill(part, now);
        if account.share.level() < units.min(share_burst) {
            let retry_after = account.share.time_until(units);
            return QuotaVerdict::Over { retry_after };
        }
        if account.bucket.take(units) {
            account.share.take(units);
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
            account.share.give_back(units);
            account.admitted -= units;
        }
    }

    /// Counts units admitted at a peer since its last news.
    pub fn note_remote(&mut self, policy: &AccountPolicy, units: f64, now: LocalTime) {
        let part = self.refill_part;
        let account = self
            .accounts
            .entry(policy.id.clone())
            .or_insert_with(|| AccountUse::new(policy, now));
        account.bucket.refill(part, now);
        account.bucket.take_remote(units);
    }

    /// Sets the demand at the other VMs.
    pub fn set_asked_elsewhere(&mut self, asked: FnvHashMap<AccountId, f64>) {
        self.asked_elsewhere = asked;
    }

    /// Takes over a peer's level when this VM has just started.
    pub fn adopt(&mut self, policy: &AccountPolicy, level: f64, now: LocalTime) {
        self.accounts
            .entry(policy.id.clone())
            .or_insert_with(|| AccountUse::new(policy, now))
            .bucket
            .lower_to(level);
    }

    /// Returns the units admitted here for an account since the process started.
    #[must_use]
    pub fn admitted(&self, id: &AccountId) -> f64 {
        self.accounts
            .get(id)
            .map_or(0.0, |account| account.admitted)
    }

    /// Returns the level of this VM's copy of an account's bucket.
    #[must_use]
    pub fn level(&self, id: &AccountId) -> f64 {
        self.accounts
            .get(id)
            .map_or(0.0, |account| account.bucket.level())
    }

    /// Returns the figures of each account.
    pub fn figures(&self, now: LocalTime) -> impl Iterator<Item = (&AccountId, AccountFigures)> {
        self.accounts.iter().map(move |(id, account)| {
            let figures = AccountFigures {
                admitted: account.admitted,
                asked_per_s: account.asked(now),
                level: account.bucket.level(),
            };
            (id, figures)
        })
    }
}
