//! Placement under injected faults, and the violations that each disabled guard causes.

use clementinepond_decide::plan::PlanMutation;
use clementinepond_measure::experiment::placement::{
    DeploymentSize, MIZUHARA, ScheduleResult, run_schedule, run_schedules, run_sizes,
};

/// Returns whether any schedule with a guard disabled violates an invariant.
fn any_schedule_violates(
    mutation: PlanMutation,
    seeds: impl IntoIterator<Item = u64>,
    is_violated: fn(&ScheduleResult) -> bool,
) -> bool {
    seeds
        .into_iter()
        .any(|seed| is_violated(&run_schedule(seed, &[mutation])))
}

fn is_overcommitted(result: &ScheduleResult) -> bool {
    result.checks.overcommitted > 0
}

fn has_stale_orders(result: &ScheduleResult) -> bool {
    result.checks.stale_orders > 0
}

fn has_lost_last_copy(result: &ScheduleResult) -> bool {
    result.checks.last_copies_unloaded > 0
}

#[test]
fn schedules_with_all_guards_are_sound_and_reproducible() {
    let report = run_schedules(1, 12);
    assert!(report.is_sound(), "{report:?}");
    assert_eq!(report, run_schedules(1, 12));
}

#[test]
fn short_run_is_sound_and_reproducible() {
    let size = DeploymentSize {
        centres: 2,
        models: 8,
        adapters: 6,
        ..MIZUHARA
    };
    let report = run_sizes(3, &[size], 60);
    assert!(report.is_sound(), "{report:?}");
    assert_eq!(report, run_sizes(3, &[size], 60));
}

#[test]
fn memory_released_on_acknowledgement_is_overcommitted() {
    assert!(any_schedule_violates(
        PlanMutation::ReleaseOnAck,
        0..40,
        is_overcommitted
    ));
}

#[test]
fn orders_without_deadline_overcommit_and_arrive_stale() {
    let mutation = PlanMutation::OrdersWithoutDeadline;
    assert!(any_schedule_violates(mutation, 0..40, is_overcommitted));
    assert!(any_schedule_violates(mutation, 0..40, has_stale_orders));
}

#[test]
fn unprotected_last_copy_is_unloaded() {
    let mutation = PlanMutation::LastCopyUnprotected;
    assert!(any_schedule_violates(mutation, 0..10, has_lost_last_copy));
}

#[test]
fn unload_before_replacement_is_ready_loses_last_copy() {
    let mutation = PlanMutation::UnloadBeforeReady;
    assert!(any_schedule_violates(mutation, 0..10, has_lost_last_copy));
}

#[test]
fn ignored_store_share_exceeds_load_limit() {
    let exceeds = |result: &ScheduleResult| result.checks.max_concurrent_loads > 4;
    assert!(any_schedule_violates(
        PlanMutation::IgnoreStoreShare,
        0..10,
        exceeds
    ));
}

// Fault injection ends while every VM is shutting down; unless the shutdowns
// complete, no VM is left to take the lease.
#[test]
fn schedule_ending_while_all_vms_shut_down_recovers() {
    assert!(run_schedule(3_903, &[]).is_recovered);
}
