//! Expiry of unreported runs and of records past their retention.

use super::granting::{free, set_outcome};
use super::shard::{ActiveRecord, ActiveState, Holding, OwnerContext, SettledRecord, ShardTenure};
use crate::claim::key::ClaimKey;
use crate::claim::record::RunHolder;
use crate::claim::settings::ClaimMutation;
use clementinepond_types::{LocalTime, TimeSpan, VmId};

/// Time between two sweeps for expired runs and records.
const SWEEP_INTERVAL: TimeSpan = TimeSpan::from_secs(1);

/// Marks expired runs as unknown, and removes records past their retention and an
/// expired quarantine.
pub(crate) fn sweep(tenure: &mut ShardTenure<Holding>, context: &mut OwnerContext<'_>) {
    let now = context.now;
    if now < tenure.stage.next_sweep {
        return;
    }
    tenure.stage.next_sweep = now + SWEEP_INTERVAL;
    let expired = running_keys(&tenure.stage, |_, expiry| now >= expiry);
    for key in expired {
        end_unreported(tenure, key, context);
    }
    let stage = &mut tenure.stage;
    let is_kept = |record: &SettledRecord| record.expires_at > now;
    stage.settled.retain(|_, record| is_kept(record));
    let settings = context.settings;
    let is_past_retention = |record: &ActiveRecord| {
        !matches!(record.state, ActiveState::Running { .. })
            && record.durable
            && record.changed_at + settings.retention_of(record.dated) <= now
    };
    let removed: Vec<ActiveRecord> = stage
        .active
        .extract_if(.., |_, record| is_past_retention(record))
        .map(|(_, record)| record)
        .collect();
    for record in &removed {
        stage.drop_answer(record);
    }
    if stage
        .quarantine
        .is_some_and(|quarantine| now >= quarantine.until)
    {
        stage.quarantine = None;
    }
}

fn running_keys(
    stage: &Holding,
    is_wanted: impl Fn(&RunHolder, LocalTime) -> bool,
) -> Vec<ClaimKey> {
    stage
        .active
        .iter()
        .filter(|(_, record)| match &record.state {
            ActiveState::Running { holder, expiry } => is_wanted(holder, *expiry),
            _ => false,
        })
        .map(|(key, _)| *key)
        .collect()
}

/// Marks the runs of a VM that left the roster as unknown.
pub(crate) fn holder_lost(
    tenure: &mut ShardTenure<Holding>,
    vm: &VmId,
    context: &mut OwnerContext<'_>,
) {
    for key in running_keys(&tenure.stage, |holder, _| holder.vm == *vm) {
        end_unreported(tenure, key, context);
    }
}

/// Marks a run as unknown because its outcome is not expected to be reported.
fn end_unreported(
    tenure: &mut ShardTenure<Holding>,
    key: ClaimKey,
    context: &mut OwnerContext<'_>,
) {
    if context.settings.mutation == ClaimMutation::ForgetUnreportedRun {
        free(&mut tenure.stage, key, context.now);
        return;
    }
    let Some(record) = tenure.stage.active.get(&key) else {
        return;
    };
    let (fingerprint, dated) = (record.fingerprint, record.dated);
    set_outcome(
        tenure,
        key,
        fingerprint,
        dated,
        ActiveState::Unknown,
        None,
        context,
    );
}
