//! Account limits over a whole fleet, with and without each guard of the reducer.

#![expect(clippy::unwrap_used, reason = "a failed helper fails its test")]

use clementinepond_decide::limit::{AccountLimit, LimitMutation};
use clementinepond_measure::experiment::limits::{
    FaultKind, FaultPlan, FleetPlan, FleetSimulation, LimitChange, NetworkPlan, PolicyKind,
    ReservePlan, SECOND, SpendLedger, chaos, cut_off, mixed_accounts, skewed,
};
use clementinepond_types::{TokenCount, TokenRate};

/// Seeds tried before the test fails because removing a guard did no harm.
const SEED_LIMIT: u64 = 20;

fn repeat_fault(plan: &mut FleetPlan, every: u64, kind: impl Fn(usize) -> FaultKind) {
    plan.faults = (0..6)
        .map(|index| FaultPlan {
            at: 14 * SECOND + index as u64 * every,
            kind: kind(index),
        })
        .filter(|fault| fault.at < plan.length)
        .collect();
}

/// Plans a run with frequent faults against which the removed guard protects.
fn plan(mutation: LimitMutation, seed: u64) -> FleetPlan {
    let order = [0, 3, 1, 4, 2];
    let mut plan = chaos(seed, &[3, 2], 40 * SECOND);
    plan.stops_at_breach = true;
    match mutation {
        LimitMutation::TrustRestartedLender => {
            plan.accounts = mixed_accounts(900);
            plan.reserve = ReservePlan::UpperBound;
            plan.network = NetworkPlan::healthy();
            repeat_fault(&mut plan, 9 * SECOND, |index| FaultKind::Restart {
                vm: order[index % 3],
            });
        }
        LimitMutation::ConfirmEarly | LimitMutation::IgnoreEarlierLoans => {
            plan = chaos(seed, &[5, 2], 30 * SECOND);
            plan.stops_at_breach = true;
            plan.network = NetworkPlan::healthy();
            repeat_fault(&mut plan, 5 * SECOND, |vm| FaultKind::Leave { vm });
            plan.faults.truncate(3);
        }
        LimitMutation::IgnoreBacking => {
            plan.network = NetworkPlan::healthy();
            repeat_fault(&mut plan, 5 * SECOND, |index| FaultKind::Isolate {
                vm: order[index % 5],
                duration: 9 * SECOND,
            });
        }
        _ => {}
    }
    plan.settings.mutation = mutation;
    plan
}

fn breaches(plan: FleetPlan) -> u64 {
    let outcome = FleetSimulation::run(plan);
    outcome.audit_breaches + outcome.over_limit()
}

fn assert_guard_is_needed(mutation: LimitMutation, first_seed: u64) {
    let mut seeds = first_seed..first_seed + SEED_LIMIT;
    let found = seeds.find(|seed| breaches(plan(mutation, *seed)) > 0);
    assert!(
        found.is_some(),
        "{mutation:?}: no run exceeded a limit without the guard"
    );
    let seed = found.unwrap();
    let mut guarded = plan(mutation, seed);
    guarded.settings.mutation = LimitMutation::None;
    assert_eq!(
        breaches(guarded),
        0,
        "{mutation:?}: seed {seed} exceeds a limit with the guard"
    );
}

macro_rules! guards {
    ($($name:ident: $mutation:ident from $seed:literal,)+) => {$(
        #[test]
        fn $name() {
            assert_guard_is_needed(LimitMutation::$mutation, $seed);
        }
    )+};
}

guards! {
    expired_token_loan_is_dropped: KeepExpiredTokenLoans from 0,
    expired_part_loan_is_dropped: KeepExpiredPartLoans from 0,
    deadline_counts_from_request: CountFromReceipt from 3,
    clock_drift_is_allowed_for: IgnoreDrift from 0,
    capacity_moves_with_lent_tokens: LendWithoutCapacity from 0,
    token_loan_is_backed_until_deadline: IgnoreBacking from 7,
    narrowed_loan_is_confirmed_late: ConfirmEarly from 3,
    repeated_grant_counts_once: AddRepeatedGrants from 0,
    repeated_return_counts_once: AddRepeatedReturns from 0,
    loans_of_two_rosters_are_counted_together: IgnoreEarlierLoans from 0,
    restarted_vm_waits: SkipStartWait from 1,
    restarted_lender_is_not_trusted: TrustRestartedLender from 0,
    lent_slice_is_not_used: KeepLentSlice from 0,
}

#[test]
fn no_account_goes_over_its_limit_under_faults() {
    for seed in 100..104 {
        let outcome = FleetSimulation::run(chaos(seed, &[3, 2], 40 * SECOND));
        assert_eq!(outcome.audit_breaches, 0, "seed {seed}");
        assert_eq!(outcome.over_limit(), 0, "seed {seed}");
        let ran = outcome
            .accounts
            .iter()
            .any(|account| account.admitted.total() > 0);
        assert!(ran, "seed {seed} admitted no tokens");
    }
}

#[test]
fn skewed_balancing_refuses_at_most_a_tenth_of_static_split() {
    let mut current = skewed(5, &[3, 2]);
    current.length = 60 * SECOND;
    current.reserve = ReservePlan::Parts(128);
    let mut baseline = current.clone();
    baseline.policy = PolicyKind::StaticSplit;
    let current = FleetSimulation::run(current).wrongful_share();
    let baseline = FleetSimulation::run(baseline).wrongful_share();
    assert!(
        current * 10.0 <= baseline,
        "wrongful refusals: {current}, more than a tenth of {baseline}"
    );
}

#[test]
fn same_seed_gives_same_outcome() {
    let run = || {
        let mut plan = cut_off(3, &[2, 2]);
        plan.length = 50 * SECOND;
        let outcome = FleetSimulation::run(plan);
        (
            outcome.bytes,
            outcome.messages,
            outcome.refused_share().to_bits(),
        )
    };
    assert_eq!(run(), run());
}

#[test]
fn window_check_is_exact() {
    let limit = |rate, burst| AccountLimit {
        rate: TokenRate::new(rate),
        burst: TokenCount::new(burst),
    };
    let micro = |tokens| TokenCount::new(tokens).micro();
    let changes = [LimitChange {
        at: 0,
        limit: limit(10, 100),
    }];
    let mut ledger = SpendLedger::default();
    ledger.record(SECOND, micro(100));
    ledger.record(2 * SECOND, micro(10));
    assert_eq!(ledger.excess(&changes, 0), 0);
    ledger.record(2 * SECOND, 1);
    assert_eq!(ledger.excess(&changes, 0), 1);
    let lowered = [
        changes[0],
        LimitChange {
            at: 3 * SECOND,
            limit: limit(1, 10),
        },
    ];
    let mut ledger = SpendLedger::default();
    ledger.record(4 * SECOND, micro(50));
    ledger.record(20 * SECOND, micro(11));
    assert_eq!(ledger.excess(&lowered, 5 * SECOND), micro(1));
}
