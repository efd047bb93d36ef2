//! Rate limits and retry budgets over a fleet.

#![allow(clippy::unwrap_used, reason = "a test stops at the first error")]

mod support;

use clementinepond_dispatch::budget::RetryBudget;
use clementinepond_dispatch::fleet::{AccountPolicy, QuotaUnit};
use clementinepond_dispatch::quota::{QuotaVerdict, RateLimiter};
use clementinepond_dispatch::select::rendezvous_weight;
use clementinepond_types::TimeSpan;
use support::at;

fn account(rate_per_s: f64, burst: f64) -> AccountPolicy {
    AccountPolicy {
        id: "desk".parse().unwrap(),
        keys: Vec::new(),
        priority: None,
        unit: QuotaUnit::Tokens,
        default_cost: 1,
        rate_per_s,
        burst,
    }
}

/// Simulates VMs that each take as many units as they are granted and send their usage
/// to connected VMs every 150 ms; returns the units taken.
fn simulate(vms: usize, seconds: u64, is_connected: impl Fn(u64, usize, usize) -> bool) -> f64 {
    let policy = account(1_000.0, 1_000.0);
    let mut limiters: Vec<RateLimiter> = (0..vms).map(|_| RateLimiter::new()).collect();
    let mut taken = vec![0.0; vms];
    let mut announced = vec![vec![0.0; vms]; vms];
    for step in 0..seconds * 100 {
        let now = at(step * 10);
        for (limiter, total) in limiters.iter_mut().zip(taken.iter_mut()) {
            while limiter.charge(&policy, 50.0, false, now) == QuotaVerdict::Within {
                *total += 50.0;
            }
        }
        if step % 15 != 0 {
            continue;
        }
        for to in 0..vms {
            let mut live = 0;
            for from in (0..vms).filter(|&from| from != to) {
                if is_connected(step * 10, from, to) {
                    live += 1;
                    let units = taken[from] - announced[to][from];
                    announced[to][from] = taken[from];
                    limiters[to].record_remote(&policy, units, now);
                }
            }
            limiters[to].set_live_peers(live, vms - 1, now);
        }
    }
    taken.iter().sum()
}

#[test]
fn connected_fleet_stays_within_rate() {
    let taken = simulate(6, 20, |_, _, _| true);
    // Each VM may spend the burst once before the first message from a peer.
    let bound = 20.0 * 1_000.0 + 6.0 * 1_000.0;
    assert!(
        taken <= bound,
        "{taken} units taken, at most {bound} allowed"
    );
    assert!(taken >= 0.9 * 20_000.0, "only {taken} units granted");
}

#[test]
fn partitioned_fleet_stays_within_rate() {
    let taken = simulate(6, 20, |_, from, to| (from < 2) == (to < 2));
    let bound = 20.0 * 1_000.0 + 6.0 * 1_000.0;
    assert!(
        taken <= bound,
        "{taken} units taken, at most {bound} allowed"
    );
    assert!(taken >= 0.85 * 20_000.0, "only {taken} units granted");
}

#[test]
fn lower_quota_applies_at_once() {
    let mut limiter = RateLimiter::new();
    assert_eq!(
        limiter.charge(&account(1_000.0, 1_000.0), 900.0, false, at(0)),
        QuotaVerdict::Within
    );
    let lower = account(100.0, 100.0);
    assert!(matches!(
        limiter.charge(&lower, 100.0, false, at(10)),
        QuotaVerdict::Over { .. }
    ));
    let QuotaVerdict::Over { retry_after } = limiter.charge(&lower, 100.0, false, at(20)) else {
        unreachable!("a charge on an empty bucket must be refused");
    };
    assert!(
        retry_after > TimeSpan::from_millis(500),
        "retry after {retry_after}"
    );
}

#[test]
fn refunded_request_costs_nothing() {
    let policy = account(1.0, 1_000.0);
    let mut limiter = RateLimiter::new();
    for step in 0..50 {
        assert_eq!(
            limiter.charge(&policy, 1_000.0, false, at(step)),
            QuotaVerdict::Within
        );
        limiter.refund(&policy.id, 1_000.0);
    }
}

#[test]
fn retries_of_all_vms_stay_within_budget() {
    let vms = 8;
    let window = TimeSpan::from_secs(10);
    let mut budgets: Vec<RetryBudget> = (0..vms)
        .map(|_| RetryBudget::new(0.2, 52.0, window))
        .collect();
    let mut retries = Vec::new();
    let mut requests = Vec::new();
    for step in 0..3_000_u64 {
        let now = at(step * 10);
        for budget in &mut budgets {
            if step % 20 == 0 {
                budget.record_request(now);
                requests.push(step * 10);
            }
            if budget.take_retry(vms, now) {
                retries.push(step * 10);
            }
        }
    }
    for start in (0..20_000).step_by(100) {
        let within = |all: &[u64]| {
            all.iter()
                .filter(|at| (start..start + 10_000).contains(*at))
                .count()
        };
        let allowed = 0.2 * within(&requests) as f64 + 52.0;
        assert!(
            within(&retries) as f64 <= allowed,
            "too many retries in the window from {start} ms"
        );
    }
}

#[test]
fn large_fleet_without_usage_updates_stays_near_rate() {
    let policy = account(900_000.0, 900_000.0);
    let vms = 85;
    let mut taken = 0.0;
    for _ in 0..vms {
        let mut limiter = RateLimiter::new();
        limiter.set_live_peers(vms - 1, vms - 1, at(0));
        // Each VM requests six times its even share during the first second.
        for step in 0..7 {
            if limiter.charge(&policy, 9_000.0, false, at(step * 140)) == QuotaVerdict::Within {
                taken += 9_000.0;
            }
        }
    }
    let bound = 3.0 * policy.rate_per_s;
    assert!(
        taken <= bound,
        "{taken} units taken, at most {bound} allowed"
    );
}

/// Simulates a large fleet whose VMs announce each request at once; returns the units
/// requested and taken. Callers select VMs at random and do not retry. `demand_ratio`
/// is the requested rate as a multiple of the account's rate.
fn simulate_immediate_announcements(demand_ratio: f64, seconds: u64) -> (f64, f64) {
    const VMS: usize = 60;
    const COST: f64 = 9_000.0;
    let policy = account(90_000.0, 90_000.0);
    let mut limiters: Vec<RateLimiter> = (0..VMS).map(|_| RateLimiter::new()).collect();
    for limiter in &mut limiters {
        limiter.set_live_peers(VMS - 1, VMS - 1, at(0));
    }
    let interval_ms = COST / (policy.rate_per_s * demand_ratio) * 1e3;
    let count = (seconds as f64 * 1e3 / interval_ms) as u64;
    let (mut requested, mut taken) = (0.0, 0.0);
    for number in 0..count {
        let millis = (number as f64 * interval_ms) as u64;
        let vm = (rendezvous_weight(number, "caller") % VMS as u64) as usize;
        requested += COST;
        if limiters[vm].charge(&policy, COST, true, at(millis)) != QuotaVerdict::Within {
            continue;
        }
        taken += COST;
        for (index, limiter) in limiters.iter_mut().enumerate() {
            if index != vm {
                limiter.record_remote(&policy, COST, at(millis + 3));
            }
        }
    }
    (requested, taken)
}

#[test]
fn account_within_rate_is_admitted_with_immediate_announcements() {
    let (requested, taken) = simulate_immediate_announcements(0.95, 30);
    assert_eq!(requested, taken);
}

#[test]
fn heavy_account_gets_its_rate() {
    let (_, taken) = simulate_immediate_announcements(6.0, 30);
    let rate = 90_000.0;
    // The burst is added to the rate, and so is what VMs admit while an announcement is
    // in transit.
    let allowed = rate * 31.0;
    assert!(
        taken > 0.97 * allowed,
        "{taken} units taken, {allowed} expected"
    );
    assert!(
        taken < 1.03 * allowed,
        "{taken} units taken, {allowed} expected"
    );
}

#[test]
fn account_within_rate_is_refused_without_fresh_usage() {
    // Without fresh usage, each VM is limited to its own share, which keeps a
    // partitioned fleet within the rate. The price is that an account within its rate
    // is refused.
    let policy = account(90_000.0, 90_000.0);
    let mut limiter = RateLimiter::new();
    limiter.set_live_peers(59, 59, at(0));
    let mut remote_demand = fnv::FnvHashMap::default();
    remote_demand.insert(policy.id.clone(), 80_000.0);
    limiter.set_remote_demand(remote_demand);
    let refused = (0..20).any(|step| {
        limiter.charge(&policy, 9_000.0, false, at(step * 100)) != QuotaVerdict::Within
    });
    assert!(refused);
}
