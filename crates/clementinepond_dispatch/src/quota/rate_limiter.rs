//! Rate limiter for all accounts at one VM.

use super::AccountBucket;
use crate::fleet::AccountPolicy;
use clementinepond_types::{AccountId, LocalTime, TimeSpan};
use fnv::FnvHashMap;

/// Result of charging a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaVerdict {
    /// The request is within the quota, and its units are taken.
    Within,
    /// The request exceeds the quota.
    Over {
        /// Time after which the units will be available.
        retry_after: TimeSpan,
    },
}

/// Decay time of the demand's moving average, in seconds.
const DEMAND_DECAY_TIME_S: f64 = 2.0;
/// Share of an account's rate above which its demand counts as heavy.
const HEAVY_DEMAND_SHARE: f64 = 0.9;
/// Share of an account's rate above which its demand counts as heavy in a large fleet,
/// where a sudden rise becomes known later.
const LARGE_FLEET_HEAVY_DEMAND_SHARE: f64 = 0.6;
/// Smallest burst of a VM's own share, in multiples of the cost of the charged request.
const MIN_SHARE_BURST_REQUESTS: f64 = 1.0;
/// Share of the rate used under heavy demand and without fresh usage in a large fleet,
/// where many VMs each round up to whole requests and exchange heartbeats once a
/// second.
const LARGE_FLEET_RATE_SHARE: f64 = 0.9;
/// Number of known peers from which a fleet counts as large.
const LARGE_FLEET_MIN_PEERS: usize = 24;

/// Rate limit state of one account at one VM.
#[derive(Debug, Clone)]
struct AccountState {
    bucket: AccountBucket,
    /// Bucket for this VM's share of the quota. The share is the whole quota, unless
    /// the known usage at peers is out of date and either demand is heavy or the
    /// account is new here in a large fleet.
    share: AccountBucket,
    /// Units admitted here since the process started.
    admitted: f64,
    /// Moving average of the units requested here per second, including refused ones.
    requested_per_s: f64,
    demand_updated_at: LocalTime,
    /// Time of the first request here, or of the first usage known from a peer.
    first_seen_at: LocalTime,
}

impl AccountState {
    const fn new(policy: &AccountPolicy, now: LocalTime) -> Self {
        Self {
            bucket: AccountBucket::new(policy.rate_per_s, policy.burst, now),
            share: AccountBucket::new(policy.rate_per_s, policy.burst, now),
            admitted: 0.0,
            requested_per_s: 0.0,
            demand_updated_at: now,
            first_seen_at: now,
        }
    }

    /// Returns the decayed demand as of `now`, in units per second.
    fn requested_per_s(&self, now: LocalTime) -> f64 {
        let seconds = now.since(self.demand_updated_at).micros() as f64 / 1e6;
        self.requested_per_s * (-seconds / DEMAND_DECAY_TIME_S).exp()
    }

    fn record_demand(&mut self, units: f64, now: LocalTime) {
        self.requested_per_s = self.requested_per_s(now) + units / DEMAND_DECAY_TIME_S;
        self.demand_updated_at = now;
    }
}

/// Time after an account first appears at a VM of a large fleet in which the VM cannot
/// know what others admit; about two heartbeat rounds.
const STARTUP_SHARE_DURATION: TimeSpan = TimeSpan::from_millis(2_500);
/// Share of the quota that a VM uses in that time, in multiples of an even share.
const STARTUP_SHARES: f64 = 1.5;

/// Values of one account for this VM's heartbeat.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountSnapshot {
    /// Units admitted here since the process started.
    pub admitted: f64,
    /// Units requested here per second, including refused ones.
    pub requested_per_s: f64,
    /// Level of this VM's copy of the bucket, in units.
    pub level: f64,
}

/// Rate limiter for all accounts at one VM.
#[derive(Debug, Default)]
pub struct RateLimiter {
    accounts: FnvHashMap<AccountId, AccountState>,
    /// Share of each rate that the live VMs may use together.
    live_share: f64,
    is_large_fleet: bool,
    /// Number of VMs in the fleet, including this one.
    vms: usize,
    /// Units requested per second at the other VMs.
    remote_demand: FnvHashMap<AccountId, f64>,
}

impl RateLimiter {
    /// Creates a rate limiter without accounts.
    #[must_use]
    pub fn new() -> Self {
        Self {
            accounts: FnvHashMap::default(),
            live_share: 1.0,
            is_large_fleet: false,
            vms: 1,
            remote_demand: FnvHashMap::default(),
        }
    }

    /// Sets the numbers of live and known peers, which determine the share of each rate
    /// that the live VMs may use.
    pub fn set_live_peers(&mut self, live: usize, known: usize, now: LocalTime) {
        self.is_large_fleet = known >= LARGE_FLEET_MIN_PEERS;
        self.vms = known.max(live) + 1;
        let live_share = (live + 1) as f64 / (known.max(live) + 1) as f64;
        if live_share != self.live_share {
            for account in self.accounts.values_mut() {
                account.bucket.refill(self.live_share, now);
            }
            self.live_share = live_share;
        }
    }

    /// Charges a request to an account.
    ///
    /// `is_usage_fresh` states whether the usage known from this VM's peers is up to
    /// date. An account without a rate is always within its quota.
    pub fn charge(
        &mut self,
        policy: &AccountPolicy,
        units: f64,
        is_usage_fresh: bool,
        now: LocalTime,
    ) -> QuotaVerdict {
        if policy.rate_per_s <= 0.0 {
            return QuotaVerdict::Within;
        }
        let live_share = self.live_share;
        let remote = self.remote_demand.get(&policy.id).copied().unwrap_or(0.0);
        let account = self
            .accounts
            .entry(policy.id.clone())
            .or_insert_with(|| AccountState::new(policy, now));
        account.record_demand(units, now);
        account.bucket.refill(live_share, now);
        account.bucket.set_quota(policy.rate_per_s, policy.burst);
        let own = account.requested_per_s(now);
        let heavy_share = if self.is_large_fleet {
            LARGE_FLEET_HEAVY_DEMAND_SHARE
        } else {
            HEAVY_DEMAND_SHARE
        };
        let is_heavy = own + remote > heavy_share * policy.rate_per_s;
        // Without fresh usage of the peers, each VM of a large fleet is limited to
        // about an even share of the quota at first, and any VM under heavy demand to
        // its share of the demand.
        let is_startup =
            self.is_large_fleet && now.since(account.first_seen_at) < STARTUP_SHARE_DURATION;
        let fraction = if is_usage_fresh {
            1.0
        } else if is_startup {
            (STARTUP_SHARES / self.vms as f64).min(1.0)
        } else if is_heavy {
            own / (own + remote)
        } else {
            1.0
        };
        let share_burst = (policy.burst * fraction).max(MIN_SHARE_BURST_REQUESTS * units);
        let safety_share = if is_heavy && self.is_large_fleet && !is_startup && !is_usage_fresh {
            LARGE_FLEET_RATE_SHARE
        } else {
            1.0
        };
        account
            .share
            .set_quota(policy.rate_per_s * fraction * safety_share, share_burst);
        account.share.refill(live_share, now);
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

    /// Puts back the units of a request that did not run.
    pub fn refund(&mut self, id: &AccountId, units: f64) {
        if let Some(account) = self.accounts.get_mut(id) {
            account.bucket.refund(units);
            account.share.refund(units);
            account.admitted -= units;
        }
    }

    /// Deducts units that a peer has admitted.
    pub fn record_remote(&mut self, policy: &AccountPolicy, units: f64, now: LocalTime) {
        let live_share = self.live_share;
        let account = self
            .accounts
            .entry(policy.id.clone())
            .or_insert_with(|| AccountState::new(policy, now));
        account.bucket.refill(live_share, now);
        account.bucket.take_remote(units);
    }

    /// Sets the demand at the other VMs, in units per second.
    pub fn set_remote_demand(&mut self, demand: FnvHashMap<AccountId, f64>) {
        self.remote_demand = demand;
    }

    /// Lowers an account's level to that of a peer; used for a peer's first heartbeat
    /// when this VM has just started.
    pub fn adopt_level(&mut self, policy: &AccountPolicy, level: f64, now: LocalTime) {
        self.accounts
            .entry(policy.id.clone())
            .or_insert_with(|| AccountState::new(policy, now))
            .bucket
            .lower_to(level);
    }

    /// Returns the units admitted here for an account since the process started, less
    /// refunds.
    #[must_use]
    pub fn admitted(&self, id: &AccountId) -> f64 {
        self.accounts
            .get(id)
            .map_or(0.0, |account| account.admitted)
    }

    /// Returns the level of this VM's copy of an account's bucket, in units; zero for
    /// an unknown account.
    #[must_use]
    pub fn level(&self, id: &AccountId) -> f64 {
        self.accounts
            .get(id)
            .map_or(0.0, |account| account.bucket.level())
    }

    /// Returns the values of each account for this VM's heartbeat.
    pub fn snapshots(&self, now: LocalTime) -> impl Iterator<Item = (&AccountId, AccountSnapshot)> {
        self.accounts.iter().map(move |(id, account)| {
            let snapshot = AccountSnapshot {
                admitted: account.admitted,
                requested_per_s: account.requested_per_s(now),
                level: account.bucket.level(),
            };
            (id, snapshot)
        })
    }
}
