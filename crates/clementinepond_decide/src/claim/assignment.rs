//! Assignment of shards to this VM by the rosters, and their release on shutdown.

use super::effect::ClaimEffect;
use super::key::ShardNumber;
use super::owner::{self, ShardEntry, ShardTenure};
use super::shard_step::{tick_step, with_shard};
use super::state::{ClaimState, RosterView};
use clementinepond_types::{DataCentreId, Epoch, LocalTime, VmId};

/// Adopts a newer roster, ends the runs of removed VMs in held shards and reassigns
/// shards.
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
    let removed: Vec<VmId> = former.map_or_else(Vec::new, |former| {
        let gone = former.members.iter().filter(|vm| !members.contains(vm));
        gone.cloned().collect()
    });
    state
        .rosters
        .insert(data_centre, RosterView { epoch, members });
    let mut effects = end_runs_of_removed_vms(state, &removed, now);
    effects.extend(assign(state, now));
    effects
}

fn end_runs_of_removed_vms(
    state: &mut ClaimState,
    removed: &[VmId],
    now: LocalTime,
) -> Vec<ClaimEffect> {
    let shards: Vec<ShardNumber> = state.shards.keys().copied().collect();
    let mut effects = Vec::new();
    for shard in shards {
        effects.extend(with_shard(state, shard, now, |entry, context| {
            Ok(match entry {
                ShardEntry::Holding(mut tenure) => {
                    for vm in removed {
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

/// Starts the takeover of shards that the rosters assign to this VM and closes the
/// others.
pub(crate) fn assign(state: &mut ClaimState, now: LocalTime) -> Vec<ClaimEffect> {
    let assigned = state.assigned_shards();
    let mut effects = close_others(state, &assigned, now);
    for shard in assigned {
        let is_present = match state.shards.get_mut(&shard) {
            Some(ShardEntry::Holding(tenure)) => {
                tenure.stage.closing = false;
                true
            }
            Some(_) => true,
            None => false,
        };
        if !is_present {
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

/// Closes held shards that are not assigned to this VM, and stops takeovers of them.
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

/// Closes all shards because this VM stops.
pub(crate) fn release(state: &mut ClaimState, now: LocalTime) -> Vec<ClaimEffect> {
    state.releasing = true;
    let mut effects = close_others(state, &[], now);
    effects.extend(finish_release(state));
    effects
}

/// Drops closed shards whose stored object is complete. Returns `Released` if the VM
/// is stopping and this drops its last shard.
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
