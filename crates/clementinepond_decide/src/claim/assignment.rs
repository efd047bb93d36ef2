//! Which shards this VM owns, as rosters change and when it stops.

use super::effect::ClaimEffect;
use super::key::ShardNumber;
use super::owner::{self, ShardEntry, ShardTenure};
use super::shard_step::{tick_step, with_shard};
use super::state::{ClaimState, RosterView};
use clementinepond_types::{DataCentreId, Epoch, LocalTime, VmId};

pub(crate) fn roster_changed(
    state: &mut ClaimState,
    data_centre: DataCentreId,
    epoch: Epoch,
    members: Vec<VmId>,
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let former = state.rosters.get(&data_centre);
    if former.is_some_and(|former| former.epoch >= epoch) {
        return Vec::new();
    }
    let lost: Vec<VmId> = former.map_or_else(Vec::new, |former| {
        let gone = former.members.iter().filter(|vm| !members.contains(vm));
        gone.cloned().collect()
    });
    state
        .rosters
        .insert(data_centre, RosterView { epoch, members });
    let mut effects = end_runs_of_removed_vms(state, &lost, now);
    effects.extend(assign(state, now));
    effects
}

fn end_runs_of_removed_vms(
    state: &mut ClaimState,
    lost: &[VmId],
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let shards: Vec<ShardNumber> = state.shards.keys().copied().collect();
    let mut effects = Vec::new();
    for shard in shards {
        effects.extend(with_shard(state, shard, now, |entry, context| {
            Ok(match entry {
                ShardEntry::Holding(mut tenure) => {
                    for vm in lost {
                        owner::holder_lost(&mut tenure, vm, context);
                    }
                    ShardEntry::Holding(tenure)
                }
                other => other,
            })
        }));
    }
    effects
}

/// Takes the shards that the roster gives to this VM and closes the others.
pub(crate) fn assign(state: &mut ClaimState, now: LocalTime) -> Vec<ClaimEffect> {
    let assigned = state.assigned_shards();
    let mut effects = close_others(state, &assigned, now);
    for shard in assigned {
        let reopened = match state.shards.get_mut(&shard) {
            Some(ShardEntry::Holding(tenure)) => {
                tenure.stage.closing = false;
                true
            }
            Some(_) => true,
            None => false,
        };
        if !reopened {
            let entry = ShardEntry::Reading(ShardTenure {
                shard,
                stage: owner::Reading {
                    read_at: now,
                    retry_at: now,
                },
            });
            state.shards.insert(shard, entry);
            effects.extend(with_shard(state, shard, now, |entry, context| {
                Ok(owner::takeover_tick(entry, context))
            }));
        }
    }
    effects
}

fn close_others(
    state: &mut ClaimState,
    assigned: &[ShardNumber],
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let others: Vec<ShardNumber> = state
        .shards
        .keys()
        .filter(|shard| !assigned.contains(shard))
        .copied()
        .collect();
    let mut effects = Vec::new();
    for shard in others {
        if let Some(ShardEntry::Holding(tenure)) = state.shards.get_mut(&shard) {
            tenure.stage.closing = true;
            effects.extend(with_shard(state, shard, now, tick_step));
        } else {
            state.shards.remove(&shard);
        }
    }
    effects
}

pub(crate) fn release(state: &mut ClaimState, now: LocalTime) -> Vec<ClaimEffect> {
    state.releasing = true;
    let mut effects = close_others(state, &[], now);
    effects.extend(finish_release(state));
    effects
}

/// Drops the shards whose object holds everything.
pub(crate) fn finish_release(state: &mut ClaimState) -> Vec<ClaimEffect> {
    let before = state.shards.len();
    state.shards.retain(|_, entry| match entry {
        ShardEntry::Holding(tenure) => !owner::release_done(&tenure.stage),
        ShardEntry::Reading(_) | ShardEntry::Collecting(_) => true,
    });
    let done = state.releasing && state.shards.is_empty();
    if done && before > 0 {
        vec![ClaimEffect::Released]
    } else {
        Vec::new()
    }
}
