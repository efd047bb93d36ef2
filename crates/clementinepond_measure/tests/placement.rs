//! Placement under faults, and what breaks when a guard is removed.

use clementinepond_decide::plan::PlanMutation;
use clementinepond_measure::experiment::placement::{
    DeploymentSize, MIZUHARA, ScheduleResult, run_schedule, run_schedules, run_sizes,
};

/// Returns whether a schedule with a guard removed breaks a must-hold.
fn breaks(
    mutation: PlanMutation,
    seeds: impl IntoIterator<Item = u64>,
    is_broken: fn(&ScheduleResult) -> bool,
) -> bool {
    seeds
        .into_iter()
        .any(|seed| is_broken(&run_schedule(seed, &[mutation])))
}

fn is_overcommitted(result: &ScheduleResult) -> bool {
    result.checks.overcommitted > 0
}

fn has_old_orders(result: &ScheduleResult) -> bool {
    result.checks.old_orders > 0
}

fn has_lost_last_copy(result: &ScheduleResult) -> bool {
    result.checks.last_copies_unloaded > 0
}

#[test]
fn schedules_with_all_guards_are_sound_and_repeatable() {
    let report = run_schedules(1, 12);
    assert!(report.is_sound(), "{report:?}");
    assert_eq!(report, run_schedules(1, 12));
}

#[test]
fn short_run_is_sound_and_repeatable() {
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
fn release_on_acknowledgement_overcommits() {
    assert!(breaks(PlanMutation::ReleaseOnAck, 0..40, is_overcommitted));
}

#[test]
fn orders_without_deadline_overcommit() {
    let mutation = PlanMutation::OrdersWithoutDeadline;
    assert!(breaks(mutation, 0..40, is_overcommitted));
    assert!(breaks(mutation, 0..40, has_old_orders));
}

#[test]
fn last_copy_needs_protection() {
    let mutation = PlanMutation::LastCopyUnprotected;
    assert!(breaks(mutation, 0..10, has_lost_last_copy));
}

#[test]
fn replacement_must_be_ready_before_the_unload() {
    let mutation = PlanMutation::UnloadBeforeReady;
    assert!(breaks(mutation, 0..10, has_lost_last_copy));
}

#[test]
fn store_share_limits_loads() {
    let exceeds = |result: &ScheduleResult| result.checks.most_loads > 4;
    assert!(breaks(PlanMutation::IgnoreStoreShare, 0..10, exceeds));
}

#[test]
fn a_schedule_that_ends_while_every_vm_shuts_down_becomes_whole() {
    assert!(run_schedule(3_903, &[]).is_whole);
}
