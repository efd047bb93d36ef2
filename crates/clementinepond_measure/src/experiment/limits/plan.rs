//! Plan of a run: fleet, load, settings and faults.

use super::network::NetworkPlan;
use super::policy::PolicyKind;
use clementinepond_decide::limit::{AccountLimit, LimitSettings};
use clementinepond_types::{TokenCount, TokenRate};

/// Tokens that a stream reserves at a time.
const PART_TOKENS: u64 = 128;
/// One second, in microseconds.
pub const SECOND: u64 = 1_000_000;

/// Limit and load of one account.
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
    /// Plans an account of `rate` tokens per second with a burst of 10 seconds of its rate.
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

/// Distribution of an account's requests over the VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalancePlan {
    /// Every VM is equally likely.
    Even,
    /// 80% of the requests go to a preferred 20% of the VMs.
    Skewed,
}

/// Reservation of tokens that aren't generated yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservePlan {
    /// Reserves the upper bound at admission.
    UpperBound,
    /// Reserves parts of this many tokens before they are needed.
    Parts(u64),
}

/// Fault, or change of a limit, during a run.
#[derive(Debug, Clone, Copy)]
pub enum FaultKind {
    /// A VM pauses and then continues with its state.
    Pause {
        /// Index of the VM.
        vm: usize,
        /// Length of the fault, in microseconds.
        duration: u64,
    },
    /// A VM loses its state and restarts under the same name.
    Restart {
        /// Index of the VM.
        vm: usize,
    },
    /// A VM stops permanently; its parts move after the hold-off.
    Crash {
        /// Index of the VM.
        vm: usize,
    },
    /// A VM leaves gracefully.
    Leave {
        /// Index of the VM.
        vm: usize,
    },
    /// A VM can't exchange messages with any other VM.
    Isolate {
        /// Index of the VM.
        vm: usize,
        /// Length of the fault, in microseconds.
        duration: u64,
    },
    /// A data centre can't exchange messages with the others.
    CutCentre {
        /// Index of the data centre.
        centre: usize,
        /// Length of the fault, in microseconds.
        duration: u64,
    },
    /// The limit of an account changes to a fraction or multiple of the planned one.
    ChangeLimit {
        /// Index of the account.
        account: usize,
        /// New rate and burst, in thousandths of the planned ones.
        scale: u64,
    },
}

/// Fault and the time at which it occurs.
#[derive(Debug, Clone, Copy)]
pub struct FaultPlan {
    /// Time of the fault, in microseconds.
    pub at: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// Plan of one run of a simulated fleet.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of VMs in each data centre.
    pub centres: Vec<usize>,
    /// Limits and loads of the accounts.
    pub accounts: Vec<AccountPlan>,
    /// Time at the start that isn't measured, in microseconds.
    pub warm_up: u64,
    /// Length of the run, in microseconds.
    pub length: u64,
    /// Distribution of requests over the VMs.
    pub balance: BalancePlan,
    /// Reservation of tokens that aren't generated yet.
    pub reserve: ReservePlan,
    /// Latency and faults of the network.
    pub network: NetworkPlan,
    /// Largest drift of a VM's clock from true time, in parts per million.
    pub drift_ppm: i64,
    /// Limit policy of all VMs.
    pub policy: PolicyKind,
    /// Settings of the limit reducer.
    pub settings: LimitSettings,
    /// Faults during the run.
    pub faults: Vec<FaultPlan>,
    /// Interval between ticks of a VM, in microseconds.
    pub tick_interval: u64,
    /// Time within which a changed limit must take effect, in microseconds.
    pub settle_time: u64,
    /// Interval between audits, in microseconds; 0 for no audits.
    pub audit_interval: u64,
    /// Whether the run ends at the first breach found by an audit.
    pub stops_at_breach: bool,
}

impl FleetPlan {
    /// Plans a fleet without faults.
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
