//! Answers to claim requests, and reports of runs.

use super::copying::copy_one;
use super::shard::{ActiveRecord, ActiveState, Holding, OwnerContext, ShardTenure};
use crate::claim::effect::{ClaimEffect, ClaimRefusal};
use crate::claim::event::RunOutcome;
use crate::claim::key::{BodyFingerprint, ClaimKey, KeyDate};
use crate::claim::message::{ClaimMessage, OwnerReply, RunReport};
use crate::claim::object::RUNNING_RECORD_MAX_SIZE;
use crate::claim::record::RunHolder;
use crate::claim::settings::ClaimMutation;
use clementinepond_types::{LocalTime, TimeSpan};
use std::collections::BTreeSet;

/// Largest number of waiting calls per claim that are sent the outcome at once; others
/// get it when they resend their request.
const WAITER_LIMIT: usize = 16;

fn reply(to: &RunHolder, reply: OwnerReply, context: &mut OwnerContext<'_>) {
    context.effects.push(ClaimEffect::Send {
        to: to.vm.clone(),
        message: ClaimMessage::Answer {
            incarnation: to.incarnation,
            ticket: to.ticket,
            reply,
        },
    });
}

/// Processes a claim request. A closing shard does not answer, so that the request is
/// resent to the next owner.
pub(crate) fn request(
    tenure: &mut ShardTenure<Holding>,
    holder: RunHolder,
    key: ClaimKey,
    fingerprint: BodyFingerprint,
    date: KeyDate,
    time_left: TimeSpan,
    context: &mut OwnerContext<'_>,
) {
    if tenure.stage.closing {
        return;
    }
    let answer = match known_reply(&mut tenure.stage, &holder, key, fingerprint) {
        Some(answer) => answer,
        None => match admission_refusal(&mut tenure.stage, date, context) {
            Some(reason) => Some(OwnerReply::Refused(reason)),
            None => {
                insert(
                    tenure,
                    holder.clone(),
                    key,
                    fingerprint,
                    date,
                    time_left,
                    context,
                );
                None
            }
        },
    };
    if let Some(answer) = answer {
        reply(&holder, answer, context);
    }
}

/// Returns the answer from the key's record. The outer `None` means that the key is
/// free, the inner one that the requester is answered once its claim is durable.
fn known_reply(
    stage: &mut Holding,
    holder: &RunHolder,
    key: ClaimKey,
    fingerprint: BodyFingerprint,
) -> Option<Option<OwnerReply>> {
    if let Some(record) = stage.active.get_mut(&key) {
        if record.fingerprint != fingerprint {
            let reason = ClaimRefusal::FingerprintMismatch;
            return Some(Some(OwnerReply::Refused(reason)));
        }
        return Some(active_reply(record, holder));
    }
    let record = stage.settled.get(&key)?;
    if record.fingerprint != fingerprint {
        let reason = ClaimRefusal::FingerprintMismatch;
        return Some(Some(OwnerReply::Refused(reason)));
    }
    let answer = if record.answered {
        OwnerReply::Replay(None)
    } else {
        OwnerReply::Unknown
    };
    Some(Some(answer))
}

fn active_reply(record: &mut ActiveRecord, requester: &RunHolder) -> Option<OwnerReply> {
    match &record.state {
        ActiveState::Running { holder, .. } if holder == requester => {
            record.durable.then_some(OwnerReply::Granted)
        }
        ActiveState::Running { .. } => {
            if record.waiters.len() < WAITER_LIMIT && !record.waiters.contains(requester) {
                record.waiters.push(requester.clone());
            }
            Some(OwnerReply::Joined)
        }
        ActiveState::Answered(answer) => Some(OwnerReply::Replay(answer.clone())),
        ActiveState::Unknown => Some(OwnerReply::Unknown),
    }
}

/// Returns the reason why a new claim must be refused, if there is one.
fn admission_refusal(
    stage: &mut Holding,
    date: KeyDate,
    context: &OwnerContext<'_>,
) -> Option<ClaimRefusal> {
    if is_quarantined(stage, date, context) {
        return Some(ClaimRefusal::Quarantined);
    }
    if stage.object_size() + RUNNING_RECORD_MAX_SIZE <= context.settings.object_limit {
        return None;
    }
    if context.settings.mutation == ClaimMutation::ForgetWhenFull {
        let oldest = stage
            .settled
            .iter()
            .filter(|(_, record)| !record.dated)
            .min_by_key(|(_, record)| record.expires_at)
            .map(|(key, _)| *key);
        if let Some(key) = oldest {
            stage.settled.remove(&key);
            return None;
        }
    }
    Some(ClaimRefusal::Full)
}

/// Returns whether a quarantine is in effect and the key may be older than its start.
fn is_quarantined(stage: &Holding, date: KeyDate, context: &OwnerContext<'_>) -> bool {
    let Some(quarantine) = stage.quarantine else {
        return false;
    };
    if context.now >= quarantine.until {
        return false;
    }
    // Two clocks contribute an offset: the one that dated the key and the one that
    // determined its age.
    let margin = context.settings.clock_margin + context.settings.clock_margin;
    match date {
        KeyDate::Past(age) => age + margin >= context.now.since(quarantine.since),
        KeyDate::Undated | KeyDate::Future(_) => true,
    }
}

fn insert(
    tenure: &mut ShardTenure<Holding>,
    holder: RunHolder,
    key: ClaimKey,
    fingerprint: BodyFingerprint,
    date: KeyDate,
    time_left: TimeSpan,
    context: &mut OwnerContext<'_>,
) {
    let now = context.now;
    let stage = &mut tenure.stage;
    let sequence = stage.next_sequence(now);
    let limit = context.settings.run_limit;
    let record = ActiveRecord {
        fingerprint,
        dated: date.is_dated(),
        sequence,
        changed_at: now,
        state: ActiveState::Running {
            holder,
            expiry: now + time_left + limit,
        },
        durable: false,
        copied_to: BTreeSet::new(),
        waiters: Vec::new(),
        reporter: None,
    };
    stage.active.insert(key, record);
    stage.pending.insert(key);
    copy_one(tenure, key, context);
    if context.settings.mutation == ClaimMutation::GrantBeforeDurable {
        mark_durable(tenure, key, context);
    }
}

/// Marks a change as durable, and grants the claim or acknowledges the report.
pub(crate) fn mark_durable(
    tenure: &mut ShardTenure<Holding>,
    key: ClaimKey,
    context: &mut OwnerContext<'_>,
) {
    let stage = &mut tenure.stage;
    if !stage.pending.remove(&key) {
        return;
    }
    let Some(record) = stage.active.get_mut(&key) else {
        return;
    };
    record.durable = true;
    if let ActiveState::Running { holder, .. } = &record.state {
        let holder = holder.clone();
        reply(&holder, OwnerReply::Granted, context);
    } else if let Some(reporter) = record.reporter.take() {
        acknowledge(&reporter, context);
    }
}

fn acknowledge(reporter: &RunHolder, context: &mut OwnerContext<'_>) {
    context.effects.push(ClaimEffect::Send {
        to: reporter.vm.clone(),
        message: ClaimMessage::ReportAcknowledged {
            incarnation: reporter.incarnation,
            ticket: reporter.ticket,
        },
    });
}

/// Processes a report. A closing shard ignores reports of runs, which are resent to the
/// next owner.
pub(crate) fn report(
    tenure: &mut ShardTenure<Holding>,
    holder: &RunHolder,
    key: ClaimKey,
    fingerprint: BodyFingerprint,
    dated: bool,
    report: RunReport,
    context: &mut OwnerContext<'_>,
) {
    match report {
        RunReport::NotRun => release(tenure, holder, key, context),
        RunReport::Ended(outcome) => {
            if !tenure.stage.closing {
                record_outcome(tenure, holder, key, fingerprint, dated, outcome, context);
            }
        }
    }
}

/// Frees a claim whose holder did not run, and acknowledges the report.
fn release(
    tenure: &mut ShardTenure<Holding>,
    reporter: &RunHolder,
    key: ClaimKey,
    context: &mut OwnerContext<'_>,
) {
    let any_holder = context.settings.mutation == ClaimMutation::ReleaseAnyHolder;
    let stage = &mut tenure.stage;
    let is_held = stage.active.get(&key).is_some_and(|record| {
        matches!(&record.state, ActiveState::Running { holder, .. } if holder == reporter || any_holder)
    });
    if is_held {
        free(stage, key, context.now);
    }
    acknowledge(reporter, context);
}

/// Removes a claim, so that its key may be claimed again.
pub(super) fn free(stage: &mut Holding, key: ClaimKey, now: LocalTime) {
    stage.next_sequence(now);
    stage.active.remove(&key);
    stage.pending.remove(&key);
}

/// Records the outcome of a run, unless a record that is as final exists.
fn record_outcome(
    tenure: &mut ShardTenure<Holding>,
    holder: &RunHolder,
    key: ClaimKey,
    fingerprint: BodyFingerprint,
    dated: bool,
    outcome: RunOutcome,
    context: &mut OwnerContext<'_>,
) {
    let state = match outcome {
        RunOutcome::Answered(answer) => ActiveState::Answered(answer),
        RunOutcome::Unknown => ActiveState::Unknown,
    };
    if is_final(&tenure.stage, key, &state) {
        if tenure.stage.pending.contains(&key) {
            if let Some(record) = tenure.stage.active.get_mut(&key) {
                record.reporter = Some(holder.clone());
            }
        } else {
            acknowledge(holder, context);
        }
        return;
    }
    set_outcome(
        tenure,
        key,
        fingerprint,
        dated,
        state,
        Some(holder.clone()),
        context,
    );
}

/// Returns whether the known outcome of a key is at least as final as a new one.
fn is_final(stage: &Holding, key: ClaimKey, new: &ActiveState) -> bool {
    let known = match stage.active.get(&key).map(|record| &record.state) {
        Some(ActiveState::Answered(_)) => return true,
        Some(ActiveState::Unknown) => Some(false),
        Some(ActiveState::Running { .. }) => None,
        None => stage.settled.get(&key).map(|record| record.answered),
    };
    match known {
        Some(true) => true,
        Some(false) => matches!(new, ActiveState::Unknown),
        None => false,
    }
}

/// Sets the outcome of a claim, copies it to replicas and answers the waiting calls.
pub(super) fn set_outcome(
    tenure: &mut ShardTenure<Holding>,
    key: ClaimKey,
    fingerprint: BodyFingerprint,
    dated: bool,
    state: ActiveState,
    reporter: Option<RunHolder>,
    context: &mut OwnerContext<'_>,
) {
    let stage = &mut tenure.stage;
    let sequence = stage.next_sequence(context.now);
    stage.settled.remove(&key);
    let waiters = stage
        .active
        .remove(&key)
        .map_or_else(Vec::new, |record| record.waiters);
    let answer = match &state {
        ActiveState::Answered(answer) => OwnerReply::Replay(answer.clone()),
        ActiveState::Running { .. } | ActiveState::Unknown => OwnerReply::Unknown,
    };
    for waiter in &waiters {
        reply(waiter, answer.clone(), context);
    }
    let record = ActiveRecord {
        fingerprint,
        dated,
        sequence,
        changed_at: context.now,
        state,
        durable: false,
        copied_to: BTreeSet::new(),
        waiters: Vec::new(),
        reporter,
    };
    stage.keep_answer(key, &record);
    stage.active.insert(key, record);
    stage.pending.insert(key);
    drop_answers(stage, context);
    copy_one(tenure, key, context);
}

/// Drops the oldest answers until the rest fits the budget.
fn drop_answers(stage: &mut Holding, context: &OwnerContext<'_>) {
    while stage.answer_bytes > context.settings.answer_budget {
        let Some((sequence, key)) = stage.answers.pop_first() else {
            return;
        };
        if let Some(record) = stage.active.get_mut(&key)
            && record.sequence == sequence
            && let ActiveState::Answered(answer) = &mut record.state
        {
            let size = answer.take().map_or(0, |answer| answer.size());
            stage.answer_bytes = stage.answer_bytes.saturating_sub(size);
        }
    }
}
