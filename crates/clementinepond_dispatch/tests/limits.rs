//! Quotas and retry budgets over a fleet.

#![allow(clippy::unwrap_used, reason = "a test stops at the first surprise")]

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

/// Plays VMs that all take as much as they may; returns the units taken.
fn play(vms: usize, seconds: u64, links: impl Fn(u64, usize, usize) -> bool) -> f64 {
    let policy = account(1_000.0, 1_000.0);
    let mut ledgers: Vec<RateLimiter> = (0..vms).map(|_| RateLimiter::new()).collect();
    let mut taken = vec![0.0; vms];
    let mut told = vec![vec![0.0; vms]; vms];
    for step in 0..seconds * 100 {
        let now = at(step * 10);
        for (ledger, total) in ledgers.iter_mut().zip(taken.iter_mut()) {
            while ledger.charge(&policy, 50.0, false, now) == QuotaVerdict::Within {
                *total += 50.0;
            }
        }
        if step % 15 != 0 {
            continue;
        }
        for to in 0..vms {
            let mut heard = 0;
            for from in (0..vms).filter(|&from| from != to) {
                if links(step * 10, from, to) {
                    heard += 1;
                    let units = taken[from] - told[to][from];
                    told[to][from] = taken[from];
                    ledgers[to].record_remote(&policy, units, now);
                }
            }
            ledgers[to].set_live_peers(heard, vms - 1, now);
        }
    }
    taken.iter().sum()
}

#[test]
fn a_connected_fleet_stays_within_the_rate() {
    let taken = play(6, 20, |_, _, _| true);
    // Each VM may spend the burst once before the first news.
    let bound = 20.0 * 1_000.0 + 6.0 * 1_000.0;
    assert!(taken <= bound, "{taken} of {bound}");
    assert!(taken >= 0.9 * 20_000.0, "only {taken} were granted");
}

#[test]
fn both_sides_of_a_partition_together_stay_within_the_rate() {
    let taken = play(6, 20, |_, from, to| (from < 2) == (to < 2));
    let bound = 20.0 * 1_000.0 + 6.0 * 1_000.0;
    assert!(taken <= bound, "{taken} of {bound}");
    assert!(taken >= 0.85 * 20_000.0, "only {taken} were granted");
}

#[test]
fn a_lower_quota_binds_at_once() {
    let mut ledger = RateLimiter::new();
    assert_eq!(
        ledger.charge(&account(1_000.0, 1_000.0), 900.0, false, at(0)),
        QuotaVerdict::Within
    );
    let lower = account(100.0, 100.0);
    assert!(matches!(
        ledger.charge(&lower, 100.0, false, at(10)),
        QuotaVerdict::Over { .. }
    ));
    let QuotaVerdict::Over { retry_after } = ledger.charge(&lower, 100.0, false, at(20)) else {
        unreachable!("the bucket is empty");
    };
    assert!(retry_after > TimeSpan::from_millis(500), "{retry_after}");
}

#[test]
fn a_refunded_request_costs_nothing() {
    let policy = account(1.0, 1_000.0);
    let mut ledger = RateLimiter::new();
    for step in 0..50 {
        assert_eq!(
            ledger.charge(&policy, 1_000.0, false, at(step)),
            QuotaVerdict::Within
        );
        ledger.refund(&policy.id, 1_000.0);
    }
}

#[test]
fn repeats_of_all_vms_stay_within_the_fleets_budget() {
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
        assert!(within(&retries) as f64 <= allowed, "window from {start}");
    }
}

#[test]
fn a_large_fleet_that_has_not_yet_heard_of_itself_stays_near_the_rate() {
    let policy = account(900_000.0, 900_000.0);
    let vms = 85;
    let mut taken = 0.0;
    for _ in 0..vms {
        let mut ledger = RateLimiter::new();
        ledger.set_live_peers(vms - 1, vms - 1, at(0));
        // Each VM asks for six times its even part during the first second.
        for step in 0..7 {
            if ledger.charge(&policy, 9_000.0, false, at(step * 140)) == QuotaVerdict::Within {
                taken += 9_000.0;
            }
        }
    }
    let bound = 3.0 * policy.rate_per_s;
    assert!(taken <= bound, "{taken} of {bound}");
}

/// Plays a large fleet whose VMs tell each other at once; returns the units
/// asked and taken. Callers turn to VMs at random and do not come back.
fn play_told_at_once(asked_of_rate: f64, seconds: u64) -> (f64, f64) {
    const VMS: usize = 60;
    const COST: f64 = 9_000.0;
    let policy = account(90_000.0, 90_000.0);
    let mut ledgers: Vec<RateLimiter> = (0..VMS).map(|_| RateLimiter::new()).collect();
    for ledger in &mut ledgers {
        ledger.set_live_peers(VMS - 1, VMS - 1, at(0));
    }
    let gap_ms = COST / (policy.rate_per_s * asked_of_rate) * 1e3;
    let count = (seconds as f64 * 1e3 / gap_ms) as u64;
    let (mut asked, mut taken) = (0.0, 0.0);
    for number in 0..count {
        let millis = (number as f64 * gap_ms) as u64;
        let vm = (rendezvous_weight(number, "caller") % VMS as u64) as usize;
        asked += COST;
        if ledgers[vm].charge(&policy, COST, true, at(millis)) != QuotaVerdict::Within {
            continue;
        }
        taken += COST;
        for (index, ledger) in ledgers.iter_mut().enumerate() {
            if index != vm {
                ledger.record_remote(&policy, COST, at(millis + 3));
            }
        }
    }
    (asked, taken)
}

#[test]
fn an_account_within_its_rate_is_never_refused_by_a_fleet_that_tells_at_once() {
    let (asked, taken) = play_told_at_once(0.95, 30);
    assert_eq!(asked, taken);
}

#[test]
fn a_heavy_account_gets_its_whole_rate_and_no_more() {
    let (_, taken) = play_told_at_once(6.0, 30);
    let rate = 90_000.0;
    // The bucket's burst comes on top, and what is admitted while one is on its way.
    let allowed = rate * 31.0;
    assert!(taken > 0.97 * allowed, "{taken} of {allowed}");
    assert!(taken < 1.03 * allowed, "{taken} of {allowed}");
}

#[test]
fn an_account_within_its_rate_is_refused_where_announcements_come_late() {
    // What the shares of the fallback cost; they stay for fleets in pieces.
    let policy = account(90_000.0, 90_000.0);
    let mut ledger = RateLimiter::new();
    ledger.set_live_peers(59, 59, at(0));
    let mut asked = fnv::FnvHashMap::default();
    asked.insert(policy.id.clone(), 80_000.0);
    ledger.set_remote_demand(asked);
    let refused = (0..20)
        .any(|step| ledger.charge(&policy, 9_000.0, false, at(step * 100)) != QuotaVerdict::Within);
    assert!(refused);
}
