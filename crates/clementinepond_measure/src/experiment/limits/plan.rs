//! What one simulated fleet looks like and what befalls it.

use super::network::NetworkPlan;
use super::policy::PolicyKind;
use clementinepond_decide::limit::{AccountLimit, LimitSettings};
use clementinepond_types::{TokenCount, TokenRate};

/// Tokens that a running stream reserves at a time.
const PART_TOKENS: u64 = 128;
/// One second, in microseconds.
pub const SECOND: u64 = 1_000_000;

/// Load of one account.
#[derive(Debug, Clone, Copy)]
pub struct AccountPlan {
    /// Limit at the start.
    pub limit: AccountLimit,
    /// Mean demand, in thousandths of the rate.
    pub load: u64,
    /// Demand during a burst, in thousandths of the mean demand.
    pub peak: u64,
}

impl AccountPlan {
    /// Plans an account of `rate` tokens a second with ten seconds of burst.
    #[must_use]
    pub fn new(rate: u64, load: u64) -> Self {
        Self {
            limit: AccountLimit {
                rate: TokenRate::new(rate),
                burst: TokenCount::new(rate * 10),
            },
            load,
            peak: 2_000,
        }
    }
}

/// How calls of one account spread over the VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalancePlan {
    /// Every VM gets as many.
    Even,
    /// 80% of the calls hit 20% of the VMs.
    Skewed,
}

/// How tokens that are not generated yet are reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservePlan {
    /// The upper bound at admission.
    UpperBound,
    /// Parts of this many tokens, ahead of need.
    Parts(u64),
}

/// What befalls the fleet.
#[derive(Debug, Clone, Copy)]
pub enum FaultKind {
    /// A VM stops for a while and then goes on.
    Pause {
        /// The VM.
        vm: usize,
        /// Length, in microseconds.
        duration: u64,
    },
    /// A VM loses its state and starts again under the same name.
    Restart {
        /// The VM.
        vm: usize,
    },
    /// A VM stops for good; its parts move after the hold-off.
    Crash {
        /// The VM.
        vm: usize,
    },
    /// A VM leaves gracefully.
    Leave {
        /// The VM.
        vm: usize,
    },
    /// A VM exchanges no messages with others for a while.
    Isolate {
        /// The VM.
        vm: usize,
        /// Length, in microseconds.
        duration: u64,
    },
    /// A data centre exchanges no messages with others for a while.
    CutCentre {
        /// The data centre.
        centre: usize,
        /// Length, in microseconds.
        duration: u64,
    },
    /// The limit of an account changes, in thousandths of the present one.
    ChangeLimit {
        /// The account.
        account: usize,
        /// New rate and burst, in thousandths of the plan's.
        scale: u64,
    },
}

/// One fault at one moment.
#[derive(Debug, Clone, Copy)]
pub struct FaultPlan {
    /// Moment, in microseconds.
    pub at: u64,
    /// What happens.
    pub kind: FaultKind,
}

/// One run of a simulated fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Seed of every random choice.
    pub seed: u64,
    /// VMs in each data centre.
    pub centres: Vec<usize>,
    /// Accounts.
    pub accounts: Vec<AccountPlan>,
    /// Time without measurement at the start, in microseconds.
    pub warm_up: u64,
    /// Length of the run, in microseconds.
    pub length: u64,
    /// Spread of calls.
    pub balance: BalancePlan,
    /// Reservation of tokens.
    pub reserve: ReservePlan,
    /// Fate of messages.
    pub network: NetworkPlan,
    /// Largest difference of a clock from true time, in millionths.
    pub drift_ppm: i64,
    /// Policy of every VM.
    pub policy: PolicyKind,
    /// Settings of the reducer.
    pub settings: LimitSettings,
    /// Faults.
    pub faults: Vec<FaultPlan>,
    /// Interval between ticks of a VM, in microseconds.
    pub tick_interval: u64,
    /// Time after which a changed limit must be in force, in microseconds.
    pub settle_time: u64,
    /// Interval between audits of all rights, in microseconds; none when 0.
    pub audit_interval: u64,
    /// Whether the run ends at the first breach that an audit finds.
    pub stops_at_breach: bool,
}

impl FleetPlan {
    /// Plans a healthy fleet.
    #[must_use]
    pub fn healthy(seed: u64, centres: Vec<usize>, accounts: Vec<AccountPlan>) -> Self {
        Self {
            seed,
            centres,
            accounts,
            warm_up: 20 * SECOND,
            length: 120 * SECOND,
            balance: BalancePlan::Skewed,
            reserve: ReservePlan::Parts(PART_TOKENS),
            network: NetworkPlan::healthy(),
            drift_ppm: 100,
            policy: PolicyKind::Current,
            settings: LimitSettings::default(),
            faults: Vec::new(),
            tick_interval: 20_000,
            settle_time: 8 * SECOND,
            audit_interval: 0,
            stops_at_breach: false,
        }
    }
}
