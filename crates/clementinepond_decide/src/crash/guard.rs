//! Updates losses, suspects and verdicts, and broadcasts the changes to other VMs.

use super::effect::CrashEffect;
use super::evidence::loss_evidence;
use super::identity::{CrashTicket, EndpointIncarnation, EndpointLoss, RequestFingerprint};
use super::loss::LossStatus;
use super::message::{CrashMessage, LossReport, SuspectReport};
use super::permit;
use super::run::{InFlight, RequestRun, RunEntry};
use super::settings::{CrashMutation, CrashSharing};
use super::state::CrashState;
use super::suspect::SuspectStatus;
use super::verdict::Verdict;
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};

/// Largest number of suspect reports in one broadcast; the rest follow in the next
/// one. Loss reports and verdicts are not limited.
const ANNOUNCED_SUSPECTS_LIMIT: usize = 512;

/// Ends a completed run and clears its request of all losses.
pub(crate) fn completed(
    state: &mut CrashState,
    ticket: CrashTicket,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let Some(entry) = state.runs.get(&ticket) else {
        return Vec::new();
    };
    let fingerprint = entry.fingerprint();
    if state.settings.mutation != CrashMutation::KeepCleared {
        clear(state, fingerprint, now);
        state.completions.record(fingerprint, &state.settings, now);
    }
    let mut effects = Vec::new();
    if state.verdicts.is_refused(fingerprint, now) {
        // A run of the request that was in flight at the time of the verdict has
        // completed, so the request does not crash every endpoint.
        effects.extend(release(state, fingerprint, now));
    }
    effects.extend(permit::end_run(state, ticket));
    effects
}

/// Clears a request of its losses and queues the change for broadcast.
fn clear(state: &mut CrashState, fingerprint: RequestFingerprint, now: LocalTime) {
    let uncleared = state.suspects.uncleared_losses(fingerprint);
    if uncleared.is_empty() {
        return;
    }
    state
        .suspects
        .clear(fingerprint, &uncleared, &state.settings, now);
    let reports = uncleared.into_iter().map(|loss| SuspectReport {
        fingerprint,
        loss,
        evidence: 0,
        run_time: TimeSpan::ZERO,
        cleared: true,
    });
    state.updates.suspects.extend(reports);
}

/// Records a pending loss for a run whose connection broke, and makes its request
/// a suspect.
pub(crate) fn stream_broken(
    state: &mut CrashState,
    ticket: CrashTicket,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let Some(RunEntry::InFlight(run)) = state.runs.get(&ticket) else {
        return permit::end_run(state, ticket);
    };
    let run = run.clone();
    let status = state
        .losses
        .record_break(&run.stage.loss, &state.settings, now);
    record_suspect_loss(state, &run, now);
    let mut effects = permit::end_run(state, ticket);
    let loss = run.stage.loss;
    state.updates.losses.push(LossReport { loss, status });
    effects.extend(evaluate(state, &[run.fingerprint], now));
    effects
}

/// Counts a loss against the request of a run and queues it for broadcast.
fn record_suspect_loss(state: &mut CrashState, run: &RequestRun<InFlight>, now: LocalTime) {
    let loss = &run.stage.loss;
    let crashes = state.losses.unexplained_crashes(&loss.endpoint);
    let run_time = now.since(run.stage.started_at);
    let evidence = loss_evidence(&state.settings, crashes, run_time);
    let fingerprint = run.fingerprint;
    let is_new =
        state
            .suspects
            .record_loss(fingerprint, loss, evidence, run_time, &state.settings, now);
    if is_new {
        state.updates.suspects.push(SuspectReport {
            fingerprint,
            loss: loss.clone(),
            evidence,
            run_time,
            cleared: false,
        });
        apply_completion_credit(state, fingerprint, loss, now);
    }
}

/// Clears a request of a loss if it has a credit of a run that recently completed
/// at this VM.
fn apply_completion_credit(
    state: &mut CrashState,
    fingerprint: RequestFingerprint,
    loss: &EndpointLoss,
    now: LocalTime,
) {
    if !state.completions.consume(fingerprint, &state.settings, now) {
        return;
    }
    let cleared = std::slice::from_ref(loss);
    state
        .suspects
        .clear(fingerprint, cleared, &state.settings, now);
    state.updates.suspects.push(SuspectReport {
        fingerprint,
        loss: loss.clone(),
        evidence: 0,
        run_time: TimeSpan::ZERO,
        cleared: true,
    });
}

/// Confirms or dismisses the losses that an endpoint's report decides.
pub(crate) fn endpoint_reported(
    state: &mut CrashState,
    endpoint: &EndpointId,
    incarnation: EndpointIncarnation,
    requested_at: LocalTime,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let mut effects = Vec::new();
    let statuses = state
        .losses
        .statuses_by_report(endpoint, incarnation, requested_at);
    for (loss, status) in statuses {
        effects.extend(merge_loss(state, &loss, status, now));
    }
    effects
}

/// Treats this VM's connections to an unreachable endpoint as broken and confirms the
/// endpoint's pending losses.
pub(crate) fn endpoint_unreachable(
    state: &mut CrashState,
    endpoint: &EndpointId,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let runs = runs_at(state, endpoint);
    let mut effects = break_runs(state, &runs, now);
    for loss in state.losses.pending_at(endpoint) {
        effects.extend(merge_loss(state, &loss, LossStatus::Unreachable, now));
    }
    effects
}

fn runs_at(state: &CrashState, endpoint: &EndpointId) -> Vec<CrashTicket> {
    state
        .runs
        .iter()
        .filter(|(_, entry)| match entry {
            RunEntry::InFlight(run) => run.stage.loss.endpoint == *endpoint,
            _ => false,
        })
        .map(|(ticket, _)| *ticket)
        .collect()
}

fn break_runs(state: &mut CrashState, tickets: &[CrashTicket], now: LocalTime) -> Vec<CrashEffect> {
    let broken = tickets.iter();
    broken
        .flat_map(|&ticket| stream_broken(state, ticket, now))
        .collect()
}

/// Updates the status of a loss and evaluates its suspects.
fn merge_loss(
    state: &mut CrashState,
    loss: &EndpointLoss,
    status: LossStatus,
    now: LocalTime,
) -> Vec<CrashEffect> {
    if !state.losses.merge(loss, status, now) {
        return Vec::new();
    }
    state.updates.losses.push(LossReport {
        loss: loss.clone(),
        status,
    });
    if status == LossStatus::Alive {
        state.suspects.remove_loss(loss);
        return Vec::new();
    }
    let suspects = state.suspects.suspects_of(loss);
    evaluate(state, &suspects, now)
}

/// Blocks requests with enough losses and evidence, and registers runs of suspects in
/// flight with the arbiter.
pub(crate) fn evaluate(
    state: &mut CrashState,
    fingerprints: &[RequestFingerprint],
    now: LocalTime,
) -> Vec<CrashEffect> {
    let mut effects = Vec::new();
    for &fingerprint in fingerprints {
        let suspect_status =
            state
                .suspects
                .suspect_status(fingerprint, &state.losses, &state.settings);
        if suspect_status == SuspectStatus::Poison && !state.verdicts.is_refused(fingerprint, now) {
            let lost = state.suspects.uncleared_losses(fingerprint).len();
            let verdict = state.verdicts.block(fingerprint, lost, &state.settings);
            effects.extend(merge_verdicts(state, &[verdict], now));
        }
    }
    effects.extend(permit::report_suspect_runs(state, fingerprints));
    effects
}

/// Merges verdicts and queues the new ones for broadcast and for the verdict object.
pub(crate) fn merge_verdicts(
    state: &mut CrashState,
    verdicts: &[Verdict],
    now: LocalTime,
) -> Vec<CrashEffect> {
    let mut effects = Vec::new();
    for verdict in verdicts {
        if !state.verdicts.merge(verdict, &state.settings, now) {
            continue;
        }
        let fingerprint = verdict.fingerprint;
        if verdict.released {
            state.suspects.remove(fingerprint);
        } else {
            for loss in state.suspects.uncleared_losses(fingerprint) {
                state.losses.mark_explained(&loss);
            }
        }
        state.store.dirty = true;
        state.updates.verdicts.push(verdict.clone());
        effects.push(CrashEffect::VerdictChanged {
            fingerprint,
            released: verdict.released,
        });
        effects.extend(permit::advance_waiting(state, fingerprint, now));
    }
    effects
}

/// Clears a request of its losses and, if there is a verdict on it, releases it.
pub(crate) fn release(
    state: &mut CrashState,
    fingerprint: RequestFingerprint,
    now: LocalTime,
) -> Vec<CrashEffect> {
    clear(state, fingerprint, now);
    match state.verdicts.release(fingerprint, &state.settings) {
        Some(verdict) => merge_verdicts(state, &[verdict], now),
        None => Vec::new(),
    }
}

/// Merges reports of another VM and evaluates the affected requests.
pub(crate) fn merge_announcement(
    state: &mut CrashState,
    losses: Vec<LossReport>,
    suspects: Vec<SuspectReport>,
    verdicts: Vec<Verdict>,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let mut affected = Vec::new();
    for report in suspects {
        merge_suspect(state, &report, now);
        affected.push(report.fingerprint);
    }
    for report in losses {
        state.losses.merge(&report.loss, report.status, now);
        if report.status == LossStatus::Alive {
            state.suspects.remove_loss(&report.loss);
        }
        affected.extend(state.suspects.suspects_of(&report.loss));
    }
    let queued = state.updates.verdicts.len();
    let mut effects = merge_verdicts(state, &verdicts, now);
    // The VM that issued a verdict broadcasts it to every VM, so it is not forwarded.
    state.updates.verdicts.truncate(queued);
    affected.sort_unstable();
    affected.dedup();
    effects.extend(evaluate(state, &affected, now));
    effects
}

fn merge_suspect(state: &mut CrashState, report: &SuspectReport, now: LocalTime) {
    let (fingerprint, loss) = (report.fingerprint, &report.loss);
    if report.cleared {
        let cleared = std::slice::from_ref(loss);
        state
            .suspects
            .clear(fingerprint, cleared, &state.settings, now);
    } else {
        let evidence = report.evidence;
        let is_new = state.suspects.record_loss(
            fingerprint,
            loss,
            evidence,
            report.run_time,
            &state.settings,
            now,
        );
        if is_new {
            apply_completion_credit(state, fingerprint, loss, now);
        }
    }
}

/// Broadcasts queued updates, at most once every `announce_gap`.
pub(crate) fn announce(state: &mut CrashState, now: LocalTime) -> Vec<CrashEffect> {
    if state.updates.is_empty() {
        return Vec::new();
    }
    if state.settings.sharing == CrashSharing::Isolated {
        state.updates = super::state::UpdateQueue::default();
        return Vec::new();
    }
    if now < state.updates.next_send {
        return Vec::new();
    }
    state.updates.next_send = now + state.settings.announce_gap;
    let rest = state
        .updates
        .suspects
        .split_off(state.updates.suspects.len().min(ANNOUNCED_SUSPECTS_LIMIT));
    let occupied = state.updates.occupied_changed.then(|| state.own_occupied());
    state.updates.occupied_changed = false;
    let message = CrashMessage::Announce {
        losses: std::mem::take(&mut state.updates.losses),
        suspects: std::mem::replace(&mut state.updates.suspects, rest),
        verdicts: std::mem::take(&mut state.updates.verdicts),
        occupied,
    };
    let peers = state.peers().into_iter();
    peers
        .map(|to| CrashEffect::Send {
            to,
            message: message.clone(),
        })
        .collect()
}

/// Renews permits, confirms overdue losses and removes expired entries.
pub(crate) fn sweep(state: &mut CrashState, now: LocalTime) -> Vec<CrashEffect> {
    // Permits are renewed often so that `permit_limit` can be short: a lost `RunEnded`
    // message keeps the endpoint occupied until the permit expires.
    let mut effects = permit::report_runs(state);
    state.updates.occupied_changed |= !state.own_occupied().is_empty();
    for loss in state.losses.overdue(&state.settings, now) {
        effects.extend(merge_loss(state, &loss, LossStatus::Unreachable, now));
    }
    state.losses.expire(&state.settings, now);
    state.suspects.expire(now);
    state.permits.expire(now);
    if state.verdicts.expire(&state.settings, now) {
        state.store.dirty = true;
    }
    effects
}
