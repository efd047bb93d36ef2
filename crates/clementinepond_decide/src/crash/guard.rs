//! Losses, suspects and verdicts: what is known and how it spreads.

use super::effect::CrashEffect;
use super::evidence::loss_evidence;
use super::identity::{CrashTicket, EndpointIncarnation, EndpointLoss, RequestFingerprint};
use super::loss::LossFate;
use super::message::{CrashMessage, LossReport, SuspectReport};
use super::permit;
use super::run::{InFlight, RequestRun, RunEntry};
use super::settings::{CrashMutation, CrashSharing};
use super::state::CrashState;
use super::suspect::Standing;
use super::verdict::Verdict;
use clementinepond_types::{EndpointId, LocalTime, TimeSpan};

/// Largest number of reports in one broadcast.
const ANNOUNCE_LIMIT: usize = 512;

/// Clears the request of a run that completed.
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
        state.soundness.note(fingerprint, &state.settings, now);
    }
    let mut effects = Vec::new();
    if state.verdicts.is_refused(fingerprint, now) {
        // A copy that was in flight at the verdict disproves it.
        effects.extend(release(state, fingerprint, now));
    }
    effects.extend(permit::over(state, ticket));
    effects
}

fn clear(state: &mut CrashState, fingerprint: RequestFingerprint, now: LocalTime) {
    let open = state.suspects.open_losses(fingerprint);
    if open.is_empty() {
        return;
    }
    state
        .suspects
        .clear(fingerprint, &open, &state.settings, now);
    let reports = open.into_iter().map(|loss| SuspectReport {
        fingerprint,
        loss,
        evidence: 0,
        run_time: TimeSpan::ZERO,
        cleared: true,
    });
    state.news.suspects.extend(reports);
}

/// Holds a broken run's endpoint against its request until more is known.
pub(crate) fn stream_broken(
    state: &mut CrashState,
    ticket: CrashTicket,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let Some(RunEntry::InFlight(run)) = state.runs.get(&ticket) else {
        return permit::over(state, ticket);
    };
    let run = run.clone();
    let fate = state.losses.broke(&run.stage.loss, &state.settings, now);
    accuse(state, &run, now);
    let mut effects = permit::over(state, ticket);
    let loss = run.stage.loss;
    state.news.losses.push(LossReport { loss, fate });
    effects.extend(judge(state, &[run.fingerprint], now));
    effects
}

fn accuse(state: &mut CrashState, run: &RequestRun<InFlight>, now: LocalTime) {
    let loss = &run.stage.loss;
    let crashes = state.losses.own_crashes(&loss.endpoint);
    let run_time = now.since(run.stage.started_at);
    let evidence = loss_evidence(&state.settings, crashes, run_time);
    let fingerprint = run.fingerprint;
    let is_news =
        state
            .suspects
            .accuse(fingerprint, loss, evidence, run_time, &state.settings, now);
    if is_news {
        state.news.suspects.push(SuspectReport {
            fingerprint,
            loss: loss.clone(),
            evidence,
            run_time,
            cleared: false,
        });
        speak_for(state, fingerprint, loss, now);
    }
}

/// Clears a request of a loss if it completed lately at this VM.
fn speak_for(
    state: &mut CrashState,
    fingerprint: RequestFingerprint,
    loss: &EndpointLoss,
    now: LocalTime,
) {
    if !state.soundness.use_up(fingerprint, &state.settings, now) {
        return;
    }
    let cleared = std::slice::from_ref(loss);
    state
        .suspects
        .clear(fingerprint, cleared, &state.settings, now);
    state.news.suspects.push(SuspectReport {
        fingerprint,
        loss: loss.clone(),
        evidence: 0,
        run_time: TimeSpan::ZERO,
        cleared: true,
    });
}

/// Takes an endpoint's report.
pub(crate) fn endpoint_seen(
    state: &mut CrashState,
    endpoint: &EndpointId,
    incarnation: EndpointIncarnation,
    asked_at: LocalTime,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let mut effects = Vec::new();
    let judged = state
        .losses
        .judged_by_report(endpoint, incarnation, asked_at);
    for (loss, fate) in judged {
        effects.extend(learn(state, &loss, fate, now));
    }
    effects
}

/// Takes an endpoint's lasting absence.
pub(crate) fn endpoint_lost(
    state: &mut CrashState,
    endpoint: &EndpointId,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let runs = runs_at(state, endpoint);
    let mut effects = break_runs(state, &runs, now);
    for loss in state.losses.pending_at(endpoint) {
        effects.extend(learn(state, &loss, LossFate::Unreachable, now));
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

/// Merges knowledge of a loss and judges the requests that were there.
fn learn(
    state: &mut CrashState,
    loss: &EndpointLoss,
    fate: LossFate,
    now: LocalTime,
) -> Vec<CrashEffect> {
    if !state.losses.merge(loss, fate, now) {
        return Vec::new();
    }
    state.news.losses.push(LossReport {
        loss: loss.clone(),
        fate,
    });
    if fate == LossFate::Alive {
        state.suspects.forget_loss(loss);
        return Vec::new();
    }
    let accused = state.suspects.accused_of(loss);
    judge(state, &accused, now)
}

/// Condemns requests whose losses suffice, and reports runs of the others.
pub(crate) fn judge(
    state: &mut CrashState,
    fingerprints: &[RequestFingerprint],
    now: LocalTime,
) -> Vec<CrashEffect> {
    let mut effects = Vec::new();
    for &fingerprint in fingerprints {
        let standing = state
            .suspects
            .standing(fingerprint, &state.losses, &state.settings);
        if standing == Standing::Poison && !state.verdicts.is_refused(fingerprint, now) {
            let lost = state.suspects.open_losses(fingerprint).len();
            let verdict = state.verdicts.condemn(fingerprint, lost, &state.settings);
            effects.extend(merge_verdicts(state, &[verdict], now));
        }
    }
    effects.extend(permit::report_suspect_runs(state, fingerprints));
    effects
}

/// Merges verdicts and passes news on.
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
            for loss in state.suspects.open_losses(fingerprint) {
                state.losses.explain(&loss);
            }
        }
        state.store.dirty = true;
        state.news.verdicts.push(verdict.clone());
        effects.push(CrashEffect::VerdictChanged {
            fingerprint,
            released: verdict.released,
        });
        effects.extend(permit::advance_waiting(state, fingerprint, now));
    }
    effects
}

/// Releases a request for an operator.
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

/// Takes news of another VM.
pub(crate) fn announced(
    state: &mut CrashState,
    losses: Vec<LossReport>,
    suspects: Vec<SuspectReport>,
    verdicts: Vec<Verdict>,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let mut touched = Vec::new();
    for report in suspects {
        take_suspect(state, &report, now);
        touched.push(report.fingerprint);
    }
    for report in losses {
        state.losses.merge(&report.loss, report.fate, now);
        if report.fate == LossFate::Alive {
            state.suspects.forget_loss(&report.loss);
        }
        touched.extend(state.suspects.accused_of(&report.loss));
    }
    let queued = state.news.verdicts.len();
    let mut effects = merge_verdicts(state, &verdicts, now);
    // The first sender told every VM already.
    state.news.verdicts.truncate(queued);
    touched.sort_unstable();
    touched.dedup();
    effects.extend(judge(state, &touched, now));
    effects
}

fn take_suspect(state: &mut CrashState, report: &SuspectReport, now: LocalTime) {
    let (fingerprint, loss) = (report.fingerprint, &report.loss);
    if report.cleared {
        let cleared = std::slice::from_ref(loss);
        state
            .suspects
            .clear(fingerprint, cleared, &state.settings, now);
    } else {
        let evidence = report.evidence;
        let is_news = state.suspects.accuse(
            fingerprint,
            loss,
            evidence,
            report.run_time,
            &state.settings,
            now,
        );
        if is_news {
            speak_for(state, fingerprint, loss, now);
        }
    }
}

/// Broadcasts news, at once or after the gap.
pub(crate) fn announce(state: &mut CrashState, now: LocalTime) -> Vec<CrashEffect> {
    if state.news.is_empty() {
        return Vec::new();
    }
    if state.settings.sharing == CrashSharing::Isolated {
        state.news = super::state::NewsQueue::default();
        return Vec::new();
    }
    if now < state.news.next_send {
        return Vec::new();
    }
    state.news.next_send = now + state.settings.announce_gap;
    let rest = state
        .news
        .suspects
        .split_off(state.news.suspects.len().min(ANNOUNCE_LIMIT));
    let occupied = state.news.occupied_changed.then(|| state.own_occupied());
    state.news.occupied_changed = false;
    let message = CrashMessage::Announce {
        losses: std::mem::take(&mut state.news.losses),
        suspects: std::mem::replace(&mut state.news.suspects, rest),
        verdicts: std::mem::take(&mut state.news.verdicts),
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

/// Confirms overdue losses and forgets what expired.
pub(crate) fn sweep(state: &mut CrashState, now: LocalTime) -> Vec<CrashEffect> {
    // Renewed often, so that a lost message frees an endpoint soon.
    let mut effects = permit::report_runs(state);
    state.news.occupied_changed |= !state.own_occupied().is_empty();
    for loss in state.losses.overdue(&state.settings, now) {
        effects.extend(learn(state, &loss, LossFate::Unreachable, now));
    }
    state.losses.expire(&state.settings, now);
    state.suspects.expire(now);
    state.permits.expire(now);
    if state.verdicts.expire(&state.settings, now) {
        state.store.dirty = true;
    }
    effects
}
