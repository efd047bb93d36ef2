//! Where and when a request may run.

use super::arbiter::RunOwner;
use super::effect::{CrashEffect, CrashRefusal};
use super::guard;
use super::identity::{CrashTicket, EndpointIncarnation, RequestFingerprint};
use super::message::{CrashMessage, PermitReply};
use super::reduce::poison_refusal;
use super::run::{InFlight, Permitted, RequestRun, RunEntry, Waiting};
use super::state::CrashState;
use super::suspect::Standing;
use clementinepond_types::{EndpointId, LocalTime, TimeSpan, VmId};

fn standing(state: &CrashState, fingerprint: RequestFingerprint) -> Standing {
    state
        .suspects
        .standing(fingerprint, &state.losses, &state.settings)
}

/// Decides about a run, or asks the arbiter.
pub(crate) fn ask(
    state: &mut CrashState,
    ticket: CrashTicket,
    fingerprint: RequestFingerprint,
    candidates: Vec<EndpointId>,
    deadline: LocalTime,
    now: LocalTime,
) -> Vec<CrashEffect> {
    // A verdict may have expired before the losses that led to it.
    let mut effects = guard::judge(state, &[fingerprint], now);
    if let Some(retry_after) = state.verdicts.refused_for(fingerprint, now) {
        effects.push(poison_refusal(ticket, retry_after));
        return effects;
    }
    if standing(state, fingerprint) == Standing::Sound || !state.settings.separate {
        let avoid = state.all_occupied(now);
        effects.push(CrashEffect::Pass { ticket, avoid });
        return effects;
    }
    let stage = Waiting {
        candidates,
        deadline,
        next_send: now,
        patience: now + state.settings.arbiter_wait,
    };
    let run = RequestRun { fingerprint, stage };
    state.runs.insert(ticket, RunEntry::Waiting(run));
    effects.push(CrashEffect::Wait { ticket });
    effects.extend(advance(state, ticket, now));
    effects
}

/// Gives a waiting run up, refuses it, or asks for its permit again.
fn advance(state: &mut CrashState, ticket: CrashTicket, now: LocalTime) -> Vec<CrashEffect> {
    let Some(RunEntry::Waiting(run)) = state.runs.get_mut(&ticket) else {
        return Vec::new();
    };
    let fingerprint = run.fingerprint;
    if let Some(retry_after) = state.verdicts.refused_for(fingerprint, now) {
        let mut effects = over(state, ticket);
        effects.push(poison_refusal(ticket, retry_after));
        return effects;
    }
    if now >= run.stage.deadline {
        let mut effects = over(state, ticket);
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
    let message = CrashMessage::AskPermit {
        ticket,
        fingerprint,
        candidates: run.stage.candidates.clone(),
        suspects: state.suspects.reports(fingerprint),
        losses: state
            .losses
            .reports(&state.suspects.open_losses(fingerprint)),
        time_left: now.until(run.stage.deadline),
    };
    let alone = now >= run.stage.patience;
    let to = if alone {
        state.vm.clone()
    } else {
        state.arbiter()
    };
    vec![CrashEffect::Send { to, message }]
}

/// Answers a request for a permit.
pub(crate) fn permit_asked(
    state: &mut CrashState,
    from: VmId,
    ticket: CrashTicket,
    fingerprint: RequestFingerprint,
    candidates: Vec<EndpointId>,
    time_left: TimeSpan,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let owner = RunOwner { vm: from, ticket };
    let reply = match state.permits.permitted(&owner) {
        Some(endpoint) => PermitReply::Run(endpoint),
        None => decide(state, &owner, fingerprint, &candidates, now),
    };
    if reply == PermitReply::Wait {
        let deadline = now + time_left;
        state
            .permits
            .wait(owner.clone(), fingerprint, candidates, deadline, now);
    }
    vec![permit_message(owner, reply)]
}

fn permit_message(owner: RunOwner, reply: PermitReply) -> CrashEffect {
    let ticket = owner.ticket;
    CrashEffect::Send {
        to: owner.vm,
        message: CrashMessage::Permit { ticket, reply },
    }
}

fn decide(
    state: &mut CrashState,
    owner: &RunOwner,
    fingerprint: RequestFingerprint,
    candidates: &[EndpointId],
    now: LocalTime,
) -> PermitReply {
    match standing(state, fingerprint) {
        Standing::Sound => return PermitReply::Sound,
        Standing::Poison | Standing::Undecided => return PermitReply::Wait,
        Standing::Suspect if now < state.settled_at => return PermitReply::Wait,
        Standing::Suspect => {}
    }
    let (losses, settings) = (&state.losses, &state.settings);
    if !state.suspects.is_settled(fingerprint, settings, now) {
        return PermitReply::Wait;
    }
    let crashes = |endpoint: &EndpointId| losses.own_crashes(endpoint);
    let is_likely = state.suspects.is_likely(fingerprint, losses, settings);
    let answering: Vec<EndpointId> = candidates
        .iter()
        .filter(|endpoint| losses.pending_at(endpoint).is_empty())
        .cloned()
        .collect();
    let chosen = state
        .permits
        .choose(fingerprint, &answering, is_likely, crashes, settings);
    let Some(endpoint) = chosen else {
        return PermitReply::Wait;
    };
    let expiry = now + settings.permit_limit;
    state.permits.occupy(
        owner.clone(),
        fingerprint,
        endpoint.clone(),
        is_likely,
        expiry,
    );
    PermitReply::Run(endpoint)
}

/// Gives permits to runs that waited.
pub(crate) fn serve_waiters(state: &mut CrashState, now: LocalTime) -> Vec<CrashEffect> {
    let mut effects = Vec::new();
    let mut waiting = state.permits.waiting();
    // The sooner the culprit is found, the sooner the others go on.
    waiting.sort_by_key(|(_, waiter)| {
        let fingerprint = waiter.fingerprint;
        !state
            .suspects
            .is_likely(fingerprint, &state.losses, &state.settings)
    });
    for (owner, waiter) in waiting {
        let reply = decide(state, &owner, waiter.fingerprint, &waiter.candidates, now);
        if reply != PermitReply::Wait {
            state.permits.stop_waiting(&owner);
            effects.push(permit_message(owner, reply));
        }
    }
    effects
}

/// Takes the arbiter's answer.
pub(crate) fn permit_replied(
    state: &mut CrashState,
    from: VmId,
    ticket: CrashTicket,
    reply: PermitReply,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let patience = now + state.settings.arbiter_wait;
    let Some(RunEntry::Waiting(run)) = state.runs.get_mut(&ticket) else {
        let known = state.runs.contains_key(&ticket);
        return match reply {
            // The run was given up before its permit came.
            PermitReply::Run(_) if !known => vec![CrashEffect::Send {
                to: from,
                message: run_over_message(state, ticket, None),
            }],
            _ => Vec::new(),
        };
    };
    let fingerprint = run.fingerprint;
    match reply {
        PermitReply::Wait => {
            if from != state.vm {
                run.stage.patience = patience;
            }
            Vec::new()
        }
        PermitReply::Sound if standing(state, fingerprint) == Standing::Sound => {
            state.runs.remove(&ticket);
            let avoid = state.all_occupied(now);
            vec![CrashEffect::Pass { ticket, avoid }]
        }
        // This VM knows more; the arbiter learns it by broadcast.
        PermitReply::Sound => Vec::new(),
        PermitReply::Run(endpoint) => {
            let undecided = standing(state, fingerprint) == Standing::Undecided;
            if undecided || state.verdicts.is_refused(fingerprint, now) {
                // The arbiter did not know of the latest loss yet.
                let mut effects = vec![CrashEffect::Send {
                    to: from,
                    message: run_over_message(state, ticket, Some(fingerprint)),
                }];
                effects.extend(advance(state, ticket, now));
                return effects;
            }
            let stage = Permitted {
                endpoint: endpoint.clone(),
            };
            let run = RequestRun { fingerprint, stage };
            state.runs.insert(ticket, RunEntry::Permitted(run));
            state.news.occupied_changed = true;
            vec![CrashEffect::RunAlone { ticket, endpoint }]
        }
    }
}

/// Notes that a run is at an endpoint.
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
    // It may have become a suspect between the decision and the dispatch.
    report_suspect_runs(state, &[fingerprint])
}

/// Tells the arbiter of runs whose requests became suspects.
pub(crate) fn report_suspect_runs(
    state: &mut CrashState,
    fingerprints: &[RequestFingerprint],
) -> Vec<CrashEffect> {
    let suspects: Vec<RequestFingerprint> = fingerprints
        .iter()
        .copied()
        .filter(|&fingerprint| standing(state, fingerprint) != Standing::Sound)
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
        if run.stage.announced || !suspects.contains(&run.fingerprint) {
            continue;
        }
        run.stage.announced = true;
        state.news.occupied_changed = true;
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

/// Tells a new arbiter of every run that the former one counted.
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
            RunEntry::InFlight(run) if run.stage.announced => {
                effects.push(running_message(&to, *ticket, run));
            }
            RunEntry::InFlight(_) => {}
        }
    }
    effects
}

/// Counts a run of another VM.
pub(crate) fn running(
    state: &mut CrashState,
    from: VmId,
    ticket: CrashTicket,
    fingerprint: RequestFingerprint,
    endpoint: EndpointId,
    now: LocalTime,
) -> Vec<CrashEffect> {
    let owner = RunOwner { vm: from, ticket };
    let expiry = now + state.settings.permit_limit;
    let is_likely = state
        .suspects
        .is_likely(fingerprint, &state.losses, &state.settings);
    state
        .permits
        .occupy(owner, fingerprint, endpoint, is_likely, expiry);
    Vec::new()
}

/// Frees the endpoint of a run of another VM.
pub(crate) fn run_over(
    state: &mut CrashState,
    from: VmId,
    ticket: CrashTicket,
    now: LocalTime,
) -> Vec<CrashEffect> {
    state.permits.remove(&RunOwner { vm: from, ticket });
    serve_waiters(state, now)
}

fn run_over_message(
    state: &CrashState,
    ticket: CrashTicket,
    fingerprint: Option<RequestFingerprint>,
) -> CrashMessage {
    let suspects = fingerprint.map_or_else(Vec::new, |one| state.suspects.reports(one));
    let open = fingerprint.map_or_else(Vec::new, |one| state.suspects.open_losses(one));
    CrashMessage::RunOver {
        ticket,
        suspects,
        losses: state.losses.reports(&open),
    }
}

/// Ends a run and frees its endpoint.
pub(crate) fn over(state: &mut CrashState, ticket: CrashTicket) -> Vec<CrashEffect> {
    let run = state.runs.remove(&ticket);
    let fingerprint = run.as_ref().map(RunEntry::fingerprint);
    let counted = match run {
        None => false,
        Some(RunEntry::InFlight(run)) => run.stage.announced,
        Some(RunEntry::Waiting(_) | RunEntry::Permitted(_)) => true,
    };
    if !counted {
        return Vec::new();
    }
    state.news.occupied_changed = true;
    let message = run_over_message(state, ticket, fingerprint);
    let arbiter = state.arbiter();
    let mut effects = Vec::new();
    if arbiter != state.vm {
        // This VM may have decided alone while the arbiter was away.
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

/// Decides anew about the waiting runs of a request.
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

/// Repeats what is unanswered.
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
    effects.extend(serve_waiters(state, now));
    effects
}
