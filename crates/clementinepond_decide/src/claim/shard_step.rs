//! Steps on owned shards. The claims of a shard whose ownership is lost are kept as
//! copies.

use super::effect::ClaimEffect;
use super::key::ShardNumber;
use super::owner::{self, Holding, OwnerContext, ShardEntry, ShardTenure};
use super::placement::rank_members;
use super::replica::{HeldCopy, ReplicaShard};
use super::state::ClaimState;
use clementinepond_types::{LocalTime, VmId};

/// Runs one step on a shard and stores the resulting entry.
///
/// A step returns its tenure as an error when the VM lost the ownership. The claims
/// are then kept as a replica's, and the takeover starts again if the roster still
/// assigns the shard to this VM.
pub(crate) fn with_shard(
    state: &mut ClaimState,
    shard: ShardNumber,
    now: LocalTime,
    step: impl FnOnce(
        ShardEntry,
        &mut OwnerContext<'_>,
    ) -> Result<ShardEntry, Box<ShardTenure<Holding>>>,
) -> Vec<ClaimEffect> {
    let Some(entry) = state.shards.remove(&shard) else {
        return Vec::new();
    };
    let local_peers = local_peers(state, shard);
    let remote_peers = remote_peers(state);
    let epoch = state
        .local_roster()
        .map(|roster| roster.epoch)
        .unwrap_or_default();
    let mut context = OwnerContext {
        settings: &state.settings,
        vm: &state.vm,
        incarnation: state.incarnation,
        writes: &mut state.writes,
        epoch,
        local_peers,
        remote_peers,
        now,
        effects: Vec::new(),
    };
    let outcome = step(entry, &mut context);
    let entry = match outcome {
        Ok(entry) => Ok(entry),
        Err(tenure) => {
            let next = owner::restart_takeover(&tenure, &mut context);
            Err((tenure, next))
        }
    };
    let effects = context.effects;
    let entry = match entry {
        Ok(entry) => entry,
        Err((tenure, next)) => {
            retain_as_replica(state, *tenure, 0, now);
            if state.releasing || state.owner(shard).as_ref() != Some(&state.vm) {
                return effects;
            }
            next
        }
    };
    if let ShardEntry::Holding(tenure) = &entry
        && tenure.stage.activated
    {
        // The stored object contains the copies that this VM held for the former
        // owner. The promise to acknowledge no older term is removed with them; until
        // the shard is dropped, the term of this entry has the same effect.
        state.replicas.remove(&shard);
    }
    state.shards.insert(shard, entry);
    effects
}

/// Returns the other VMs of the data centre, ranked for the shard.
fn local_peers(state: &ClaimState, shard: ShardNumber) -> Vec<VmId> {
    let members = state
        .local_roster()
        .map_or(&[][..], |roster| &roster.members);
    let mut ranked = rank_members(shard, members);
    ranked.retain(|vm| *vm != state.vm);
    ranked
}

/// Returns the known VMs of all other data centres.
fn remote_peers(state: &ClaimState) -> Vec<VmId> {
    let rosters = state.rosters.iter();
    let remote = rosters.filter(|(data_centre, _)| **data_centre != state.data_centre);
    remote
        .flat_map(|(_, roster)| roster.members.iter().cloned())
        .collect()
}

/// Keeps the claims of a lost shard as copies for its next owner.
fn retain_as_replica(
    state: &mut ClaimState,
    tenure: ShardTenure<Holding>,
    promised: u64,
    now: LocalTime,
) {
    let stage = tenure.stage;
    if !stage.activated {
        // No claim of this term was granted, as its object is not known to be stored.
        return;
    }
    let records = stage
        .active
        .iter()
        .map(|(key, record)| {
            let held = HeldCopy {
                record: record.to_copy(*key, now),
                received_at: now,
            };
            (*key, held)
        })
        .collect();
    let replica = ReplicaShard {
        term: stage.term,
        promised: promised.max(stage.term),
        records,
    };
    state.replicas.insert(tenure.shard, replica);
}

/// Ends the ownership of a shard that an owner of a newer term takes over.
///
/// The shard is not taken over again before shards are next assigned.
pub(crate) fn step_down(state: &mut ClaimState, shard: ShardNumber, term: u64, now: LocalTime) {
    let Some(ShardEntry::Holding(tenure)) = state.shards.get(&shard) else {
        return;
    };
    if tenure.stage.term >= term {
        return;
    }
    if let Some(ShardEntry::Holding(tenure)) = state.shards.remove(&shard) {
        retain_as_replica(state, *tenure, term, now);
    }
}

/// Expires records, resends copies and writes the object, or continues the takeover.
pub(crate) fn tick_step(
    entry: ShardEntry,
    context: &mut OwnerContext<'_>,
) -> Result<ShardEntry, Box<ShardTenure<Holding>>> {
    Ok(match entry {
        ShardEntry::Holding(mut tenure) => {
            owner::sweep(&mut tenure, context);
            owner::resend_copies(&mut tenure, context);
            owner::flush(&mut tenure, context);
            ShardEntry::Holding(tenure)
        }
        other => owner::takeover_tick(other, context),
    })
}
