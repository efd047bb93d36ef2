//! Permits for suspects: where and when a request may run.
//!
//! A VM requests permits from the arbiter, which is the same VM or another one;
//! this module implements the requester and the arbiter.

use super::arbiter::RunKey;
use super::effect::{CrashEffect, CrashRefusal};
use super::guard;
use super::identity::{CrashTicket, EndpointIncarnation, RequestFingerprint};
use super::message::{CrashMessage, PermitReply};
use super::reduce::poison_refusal;
use super::run::{InFlight, Permitted, RequestRun, RunEntry, Waiting};
use super::state::CrashState;
use super::suspect::SuspectStatus;
use clementinepond_types::{EndpointId, LocalTime, TimeSpan, VmId};

fn suspect_status(state: &CrashState, fingerprint: RequestFingerprint) -> SuspectStatus {
    state
        .suspects
        .suspect_status(fingerprint, &state.losses, &state.settings)
}

/// Passes or refuses a run, or requests a permit for it.
pub(crate) fn request_run(
    state: &mut CrashState,
    ticket: CrashTicket,
    fingerprint: RequestFingerprint,
    candidates: Vec<EndpointId>,
    deadline: LocalTime,
    now: LocalTime,
) -> Vec<CrashEffect> {
    // If the verdict expired before the losses that led to it, the request is blocked
    // again here.
    let mut effects = guard::evaluate(state, &[fingerprint], now);
    if let Some(retry_after) = state.verdicts.refused_for(fingerprint, now) {
        effects.push(poison_refusal(ticket, retry_after));
        return effects;
    }
    if suspect_status(state, fingerprint) == SuspectStatus::Cleared || !state.settings.separate {
        let avoid = state.all_occupied(now);
        effects.push(CrashEffect::Pass { ticket, avoid });
        return effects;
    }
    let stage = Waiting {
        candidates,
        deadline,
        next_send: now,
        arbiter_deadline: now + state.settings.arbiter_wait,
    };
    let run = RequestRun { fingerprint, stage };
    state.runs.insert(ticket, RunEntry::Waiting(run));
    effects.push(CrashEffect::Wait { ticket });
    effects.extend(advance(state, ticket, now));
    effects
}

/// Refuses a waiting run that is blocked or past its deadline; otherwise requests its
/// permit again when that is due.
fn advance(state: &mut CrashState, ticket: CrashTicket, now: LocalTime) -> Vec<CrashEffect> {
    let Some(RunEntry::Waiting(run)) = state.runs.get_mut(&ticket) else {
        return Vec::new();
    };
    let fingerprint = run.fingerprint;
    if let Some(retry_after) = state.verdicts.refused_for(fingerprint, now) {
        let mut effects = end_run(state, ticket);
        effects.push(poison_refusal(ticket, retry_after));
        return effects;
    }
    if now >= run.stage.deadline {
        let mut effects = end_run(state, ticket);
        effects.push(CrashEffect::Refused {
            ticket,
            retry_after: state.settings.pending_limit,
            reason: CrashRefusal::Crowded,
        });
        return effects;
    }
    if now < run.stage.next_send {
        return Vec::new();
    }
    run.stage.next_send = now + state.settings.resend_interval;
    let message = CrashMessage::RequestPermit {
        ticket,
        fingerprint,
        candidates: run.stage.candidates.clone(),
        suspects: state.suspects.reports(fingerprint),
        losses: state
            .losses
            .reports(&state.suspects.uncleared_losses(fingerprint)),
        time_left: now.until(run.stage.deadline),
    };
    let decides_alone = now >= run.stage.arbiter_deadline;
    let to = if decides_alone {
        state.vm.clone()
    } else {
        state.arbiter()
    };
    vec![CrashEffect::Send { to, message }]
}

/// Answers a permit request; queues the run if it has to wait.
pub(crate) fn permit_requested(
    state: &mut CrashState,
    from: VmId,
    ticket: CrashTicket,
    fingerprint: RequestFingerprint,
    candidates: Vec<EndpointId>,
    time_left: TimeSpan,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let key = RunKey { vm: from, ticket };
    let reply = match state.permits.permitted_endpoint(&key) {
        Some(endpoint) => PermitReply::Run(endpoint),
        None => decide(state, &key, fingerprint, &candidates, now),
    };
    if reply == PermitReply::Wait {
        let deadline = now + time_left;
        state
            .permits
            .enqueue(key.clone(), fingerprint, candidates, deadline, now);
    }
    vec![permit_message(key, reply)]
}

fn permit_message(key: RunKey, reply: PermitReply) -> CrashEffect {
    let ticket = key.ticket;
    CrashEffect::Send {
        to: key.vm,
        message: CrashMessage::Permit { ticket, reply },
    }
}

/// Decides a permit request and records the permit if one is granted.
fn decide(
    state: &mut CrashState,
    key: &RunKey,
    fingerprint: RequestFingerprint,
    candidates: &[EndpointId],
    now: LocalTime,
) -> PermitReply {
    match suspect_status(state, fingerprint) {
        SuspectStatus::Cleared => return PermitReply::Cleared,
        SuspectStatus::Poison | SuspectStatus::Undecided => return PermitReply::Wait,
        SuspectStatus::Suspect if now < state.arbiter_ready_at => return PermitReply::Wait,
        SuspectStatus::Suspect => {}
    }
    let (losses, settings) = (&state.losses, &state.settings);
    if !state
        .suspects
        .is_report_wait_over(fingerprint, settings, now)
    {
        return PermitReply::Wait;
    }
    let crashes = |endpoint: &EndpointId| losses.unexplained_crashes(endpoint);
    let is_likely_culprit = state
        .suspects
        .is_likely_culprit(fingerprint, losses, settings);
    let without_pending_loss: Vec<EndpointId> = candidates
        .iter()
        .filter(|endpoint| losses.pending_at(endpoint).is_empty())
        .cloned()
        .collect();
    let chosen = state.permits.choose(
        fingerprint,
        &without_pending_loss,
        is_likely_culprit,
        crashes,
        settings,
    );
    let Some(endpoint) = chosen else {
        return PermitReply::Wait;
    };
    let expiry = now + settings.permit_limit;
    state.permits.insert(
        key.clone(),
        fingerprint,
        endpoint.clone(),
        is_likely_culprit,
        expiry,
    );
    PermitReply::Run(endpoint)
}

/// Decides the waiting runs again and answers those that no longer have to wait.
pub(crate) fn grant_waiting(state: &mut CrashState, now: LocalTime) -> Vec<CrashEffect> {
    let mut effects = Vec::new();
    let mut waiting = state.permits.waiting();
    // Likely culprits go first: once the culprit is blocked, its losses no longer make
    // the other suspects likely culprits, and these can share endpoints.
    waiting.sort_by_key(|(_, waiter)| {
        let fingerprint = waiter.fingerprint;
        !state
            .suspects
            .is_likely_culprit(fingerprint, &state.losses, &state.settings)
    });
    for (key, waiter) in waiting {
        let reply = decide(state, &key, waiter.fingerprint, &waiter.candidates, now);
        if reply != PermitReply::Wait {
            state.permits.remove_waiter(&key);
            effects.push(permit_message(key, reply));
        }
    }
    effects
}

/// Handles the arbiter's answer to a permit request.
pub(crate) fn permit_replied(
    state: &mut CrashState,
    from: VmId,
    ticket: CrashTicket,
    reply: PermitReply,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let arbiter_deadline = now + state.settings.arbiter_wait;
    let Some(RunEntry::Waiting(run)) = state.runs.get_mut(&ticket) else {
        let known = state.runs.contains_key(&ticket);
        return match reply {
            // The run ended before its permit arrived, so the permit is returned.
            PermitReply::Run(_) if !known => vec![CrashEffect::Send {
                to: from,
                message: run_ended_message(state, ticket, None),
            }],
            _ => Vec::new(),
        };
    };
    let fingerprint = run.fingerprint;
    match reply {
        PermitReply::Wait => {
            if from != state.vm {
                run.stage.arbiter_deadline = arbiter_deadline;
            }
            Vec::new()
        }
        PermitReply::Cleared if suspect_status(state, fingerprint) == SuspectStatus::Cleared => {
            state.runs.remove(&ticket);
            let avoid = state.all_occupied(now);
            vec![CrashEffect::Pass { ticket, avoid }]
        }
        // This VM knows of a loss that the arbiter does not; the next permit
        // request or broadcast sends it.
        PermitReply::Cleared => Vec::new(),
        PermitReply::Run(endpoint) => {
            let undecided = suspect_status(state, fingerprint) == SuspectStatus::Undecided;
            if undecided || state.verdicts.is_refused(fingerprint, now) {
                // The arbiter did not know of the latest loss or verdict yet, so the
                // permit is returned.
                let mut effects = vec![CrashEffect::Send {
                    to: from,
                    message: run_ended_message(state, ticket, Some(fingerprint)),
                }];
                effects.extend(advance(state, ticket, now));
                return effects;
            }
            let stage = Permitted {
                endpoint: endpoint.clone(),
            };
            let run = RequestRun { fingerprint, stage };
            state.runs.insert(ticket, RunEntry::Permitted(run));
            state.updates.occupied_changed = true;
            vec![CrashEffect::RunAlone { ticket, endpoint }]
        }
    }
}

/// Records that a run was sent to an endpoint.
pub(crate) fn dispatched(
    state: &mut CrashState,
    ticket: CrashTicket,
    fingerprint: RequestFingerprint,
    endpoint: EndpointId,
    incarnation: EndpointIncarnation,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let permitted = matches!(state.runs.get(&ticket), Some(RunEntry::Permitted(_)));
    let stage = InFlight::new(endpoint, incarnation, now, permitted);
    let run = RequestRun { fingerprint, stage };
    state.runs.insert(ticket, RunEntry::InFlight(run));
    if permitted {
        return Vec::new();
    }
    // The request may have become a suspect between the decision and the dispatch.
    report_suspect_runs(state, &[fingerprint])
}

/// Registers runs in flight with the arbiter when their requests become suspects.
pub(crate) fn report_suspect_runs(
    state: &mut CrashState,
    fingerprints: &[RequestFingerprint],
) -> Vec<CrashEffect> {
    let suspects: Vec<RequestFingerprint> = fingerprints
        .iter()
        .copied()
        .filter(|&fingerprint| suspect_status(state, fingerprint) != SuspectStatus::Cleared)
        .collect();
    if suspects.is_empty() || !state.settings.separate {
        return Vec::new();
    }
    let to = state.arbiter();
    let mut effects = Vec::new();
    for (ticket, entry) in &mut state.runs {
        let RunEntry::InFlight(run) = entry else {
            continue;
        };
        if run.stage.is_registered || !suspects.contains(&run.fingerprint) {
            continue;
        }
        run.stage.is_registered = true;
        state.updates.occupied_changed = true;
        effects.push(running_message(&to, *ticket, run));
    }
    effects
}

fn running_message(to: &VmId, ticket: CrashTicket, run: &RequestRun<InFlight>) -> CrashEffect {
    CrashEffect::Send {
        to: to.clone(),
        message: CrashMessage::Running {
            ticket,
            fingerprint: run.fingerprint,
            endpoint: run.stage.loss.endpoint.clone(),
        },
    }
}

/// Returns the messages that report every registered or permitted run to the arbiter,
/// which renew its permit or inform a new arbiter.
pub(crate) fn report_runs(state: &CrashState) -> Vec<CrashEffect> {
    let to = state.arbiter();
    let mut effects = Vec::new();
    for (ticket, entry) in &state.runs {
        match entry {
            RunEntry::Waiting(_) => {}
            RunEntry::Permitted(run) => effects.push(CrashEffect::Send {
                to: to.clone(),
                message: CrashMessage::Running {
                    ticket: *ticket,
                    fingerprint: run.fingerprint,
                    endpoint: run.stage.endpoint.clone(),
                },
            }),
            RunEntry::InFlight(run) if run.stage.is_registered => {
                effects.push(running_message(&to, *ticket, run));
            }
            RunEntry::InFlight(_) => {}
        }
    }
    effects
}

/// Records or renews the permit of a run that a VM reports.
pub(crate) fn running(
    state: &mut CrashState,
    from: VmId,
    ticket: CrashTicket,
    fingerprint: RequestFingerprint,
    endpoint: EndpointId,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let key = RunKey { vm: from, ticket };
    let expiry = now + state.settings.permit_limit;
    let is_likely_culprit =
        state
            .suspects
            .is_likely_culprit(fingerprint, &state.losses, &state.settings);
    state
        .permits
        .insert(key, fingerprint, endpoint, is_likely_culprit, expiry);
    Vec::new()
}

/// Removes the permit of a run that ended and grants permits to waiting runs.
pub(crate) fn run_ended(
    state: &mut CrashState,
    from: VmId,
    ticket: CrashTicket,
    now: LocalTime,
) -> Vec<CrashEffect> {
    state.permits.remove(&RunKey { vm: from, ticket });
    grant_waiting(state, now)
}

fn run_ended_message(
    state: &CrashState,
    ticket: CrashTicket,
    fingerprint: Option<RequestFingerprint>,
) -> CrashMessage {
    let suspects =
        fingerprint.map_or_else(Vec::new, |fingerprint| state.suspects.reports(fingerprint));
    let uncleared = fingerprint.map_or_else(Vec::new, |fingerprint| {
        state.suspects.uncleared_losses(fingerprint)
    });
    CrashMessage::RunEnded {
        ticket,
        suspects,
        losses: state.losses.reports(&uncleared),
    }
}

/// Removes a run and notifies the arbiter if the arbiter may know of it.
pub(crate) fn end_run(state: &mut CrashState, ticket: CrashTicket) -> Vec<CrashEffect> {
    let run = state.runs.remove(&ticket);
    let fingerprint = run.as_ref().map(RunEntry::fingerprint);
    let is_known_to_arbiter = match run {
        None => false,
        Some(RunEntry::InFlight(run)) => run.stage.is_registered,
        Some(RunEntry::Waiting(_) | RunEntry::Permitted(_)) => true,
    };
    if !is_known_to_arbiter {
        return Vec::new();
    }
    state.updates.occupied_changed = true;
    let message = run_ended_message(state, ticket, fingerprint);
    let arbiter = state.arbiter();
    let mut effects = Vec::new();
    if arbiter != state.vm {
        // This VM may have granted the permit itself while the arbiter was
        // unreachable.
        effects.push(CrashEffect::Send {
            to: state.vm.clone(),
            message: message.clone(),
        });
    }
    effects.push(CrashEffect::Send {
        to: arbiter,
        message,
    });
    effects
}

/// Advances the waiting runs of a request; other runs are left as they are.
pub(crate) fn advance_waiting(
    state: &mut CrashState,
    fingerprint: RequestFingerprint,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let waiting: Vec<CrashTicket> = state
        .runs
        .iter()
        .filter(|(_, entry)| entry.fingerprint() == fingerprint)
        .map(|(ticket, _)| *ticket)
        .collect();
    waiting
        .into_iter()
        .flat_map(|ticket| advance(state, ticket, now))
        .collect()
}

/// Advances all waiting runs of this VM and decides again those that wait for a permit of
/// this VM.
pub(crate) fn tick(state: &mut CrashState, now: LocalTime) -> Vec<CrashEffect> {
    let waiting: Vec<CrashTicket> = state
        .runs
        .iter()
        .filter(|(_, entry)| matches!(entry, RunEntry::Waiting(_)))
        .map(|(ticket, _)| *ticket)
        .collect();
    let mut effects = Vec::new();
    for ticket in waiting {
        effects.extend(advance(state, ticket, now));
    }
    effects.extend(grant_waiting(state, now));
    effects
}
