//! Scenarios of the experiment.

use super::network::NetworkPlan;
use super::plan::{AccountPlan, BalancePlan, FaultKind, FaultPlan, FleetPlan, ReservePlan, SECOND};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Upper bound of the length of one fault in a chaos run.
const FAULT_DURATION_LIMIT_US: u64 = 12 * SECOND;

/// Returns five accounts of different rates, each with a load in thousandths of its rate.
#[must_use]
pub fn mixed_accounts(load: u64) -> Vec<AccountPlan> {
    [12_000, 8_000, 4_000, 2_000, 1_000]
        .into_iter()
        .map(|rate| AccountPlan::new(rate, load))
        .collect()
}

/// Returns `count` accounts of equal rate, with a load in thousandths of it.
#[must_use]
pub fn small_accounts(count: usize, rate: u64, load: u64) -> Vec<AccountPlan> {
    vec![AccountPlan::new(rate, load); count]
}

/// Plans a healthy network on which 80% of an account's requests favour 20% of the VMs.
#[must_use]
pub fn skewed(seed: u64, centres: &[usize]) -> FleetPlan {
    let mut plan = FleetPlan::healthy(seed, centres.to_vec(), mixed_accounts(600));
    plan.length = 200 * SECOND;
    plan
}

/// Plans a run in which one data centre is cut off and load is spread evenly.
#[must_use]
pub fn cut_off(seed: u64, centres: &[usize]) -> FleetPlan {
    let mut plan = skewed(seed, centres);
    plan.balance = BalancePlan::Even;
    plan.warm_up = 40 * SECOND;
    plan.length = 160 * SECOND;
    plan.faults = vec![FaultPlan {
        at: 40 * SECOND,
        kind: FaultKind::CutCentre {
            centre: 0,
            duration: 110 * SECOND,
        },
    }];
    plan
}

/// Plans a run in which the first account sends `fold` times its rate.
#[must_use]
pub fn first_account_load(seed: u64, centres: &[usize], fold: u64) -> FleetPlan {
    let mut plan = skewed(seed, centres);
    if let Some(first) = plan.accounts.first_mut() {
        first.load = 1_000 * fold;
        first.peak = 1_000;
    }
    plan
}

/// Plans a run in which the limits of two accounts rise and fall under load.
#[must_use]
pub fn rate_change(seed: u64, centres: &[usize]) -> FleetPlan {
    let mut plan = skewed(seed, centres);
    plan.accounts = mixed_accounts(1_500);
    let steps = [(50, 300), (80, 1_500), (110, 100), (140, 1_000)];
    plan.faults = steps
        .into_iter()
        .flat_map(|(at, scale)| {
            (0..2).map(move |account| FaultPlan {
                at: at * SECOND,
                kind: FaultKind::ChangeLimit { account, scale },
            })
        })
        .collect();
    plan
}

/// Plans random faults of every kind on a network that loses, duplicates and reorders.
#[must_use]
pub fn chaos(seed: u64, centres: &[usize], length: u64) -> FleetPlan {
    let mut plan = FleetPlan::healthy(seed, centres.to_vec(), mixed_accounts(2_000));
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    plan.network = NetworkPlan::faulty();
    plan.drift_ppm = 500;
    plan.audit_interval = 97_000;
    plan.settle_time += FAULT_DURATION_LIMIT_US;
    plan.warm_up = 0;
    plan.length = length;
    if rng.random_range(0..2) == 0 {
        plan.reserve = ReservePlan::UpperBound;
    }
    let vms: usize = centres.iter().sum();
    let mut at = 10 * SECOND;
    while at + FAULT_DURATION_LIMIT_US < length {
        at += rng.random_range(SECOND / 2..4 * SECOND);
        let kind = draw_fault(vms, centres.len(), plan.accounts.len(), &mut rng);
        plan.faults.push(FaultPlan { at, kind });
    }
    plan
}

fn draw_fault(vms: usize, centres: usize, accounts: usize, rng: &mut ChaCha8Rng) -> FaultKind {
    let vm = rng.random_range(0..vms);
    let duration = rng.random_range(SECOND / 10..FAULT_DURATION_LIMIT_US);
    match rng.random_range(0..20) {
        0..=5 => FaultKind::Pause { vm, duration },
        6..=8 => FaultKind::Isolate { vm, duration },
        9..=11 => FaultKind::CutCentre {
            centre: rng.random_range(0..centres),
            duration,
        },
        12..=14 => FaultKind::Restart { vm },
        15 => FaultKind::Crash { vm },
        16..=17 => FaultKind::Leave { vm },
        _ => FaultKind::ChangeLimit {
            account: rng.random_range(0..accounts),
            scale: [300, 600, 1_000, 1_500][rng.random_range(0..4)],
        },
    }
}

/// Plans a fleet of any size at 60% of its limits, for a total of `requests` per second.
///
/// Used at the sizes and the load of the two-year target.
#[must_use]
pub fn scaled_fleet(seed: u64, centres: &[usize], accounts: usize, requests: u64) -> FleetPlan {
    let rate = requests * super::stream::MEAN_REQUEST_TOKENS * 10 / 6 / accounts.max(1) as u64;
    let accounts = small_accounts(accounts, rate.max(600), 600);
    let mut plan = FleetPlan::healthy(seed, centres.to_vec(), accounts);
    plan.balance = BalancePlan::Even;
    plan.tick_interval = 50_000;
    plan.warm_up = 40 * SECOND;
    plan.length = 46 * SECOND;
    plan
}
