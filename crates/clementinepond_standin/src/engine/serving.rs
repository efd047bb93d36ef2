//! Admission of a request, prefill, and preparation of its answer.

use super::answer_envelope::{AnswerEnvelope, FinishReason};
use super::completion_request::CompletionRequest;
use super::engine_faults::EngineFaults;
use super::engine_process::EngineProcess;
use super::engine_server::{EngineShared, FaultState};
use super::generation::{Generation, StreamFault, TokenPlan};
use super::token_text::{answer_length, answer_seed, prefix_hash, prompt_tokens};
use crate::network::HttpCall;
use clementinepond_types::TimeSpan;
use std::sync::Arc;

/// Reason why no answer is generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotServed {
    /// The request was refused before it ran, with the given message.
    NotRun(&'static str),
    /// The request crashed the engine.
    Crashed,
}

/// Faults that affect one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AnswerFaults {
    refused: bool,
    crossed: bool,
    crossed_stream: bool,
    truncated: bool,
    pub(super) reset_after_run: bool,
    late_by: TimeSpan,
    extra_token_time: TimeSpan,
}

impl AnswerFaults {
    /// Draws all faults of a request at once. A fault that takes no effect, such
    /// as one of a stream for an answer that is not streamed, counts as used.
    pub(super) fn draw(shared: &EngineShared) -> Self {
        let mut state = shared.faults();
        let FaultState { faults, random } = &mut *state;
        let late = faults.late_answers.triggers(random);
        let slow = faults.slow_answers.triggers(random);
        Self {
            refused: faults.refusals.triggers(random),
            crossed: faults.crossed_answers.triggers(random),
            crossed_stream: faults.crossed_streams.triggers(random),
            truncated: faults.truncated_streams.triggers(random),
            reset_after_run: faults.resets_after_run.triggers(random),
            late_by: if late { faults.late_by } else { TimeSpan::ZERO },
            extra_token_time: if slow {
                faults.slow_token_time
            } else {
                TimeSpan::ZERO
            },
        }
    }
}

/// Waits for a slot of the batch, prefills the prompt and prepares the answer.
pub(super) async fn prepare(
    shared: &EngineShared,
    process: &Arc<EngineProcess>,
    call: &HttpCall,
    request: &CompletionRequest,
    faults: AnswerFaults,
) -> Result<Generation, NotServed> {
    if faults.refused {
        return Err(NotServed::NotRun(
            "refused by an injected fault; try another endpoint",
        ));
    }
    if process
        .lock()
        .memory
        .find_serving_model(&request.model)
        .is_none()
    {
        return Err(NotServed::NotRun(
            "the model is not loaded; try another endpoint",
        ));
    }
    let Some(slot) = process.batch.enter(request.priority).await else {
        return Err(NotServed::NotRun("the queue is full; try another endpoint"));
    };
    let Some(run) = process.begin_run(&request.id, &request.model) else {
        return Err(NotServed::NotRun(
            "the model was unloaded; try another endpoint",
        ));
    };
    record_run(shared, call);
    prefill(shared, process, request).await;
    if has_crash_marker(&shared.faults().faults, &request.prompt) {
        let down_for = shared.faults().faults.down_for;
        shared.crash(down_for);
        return Err(NotServed::Crashed);
    }
    tokio::time::sleep(faults.late_by.duration()).await;
    let version = run.model.1.clone();
    let stream_fault = choose_stream_fault(shared, request, &version, faults);
    let (envelope, plan) = answer_plan(process, request, &version, faults.crossed);
    Ok(Generation {
        process: Arc::clone(process),
        run,
        _slot: slot,
        envelope,
        plan,
        extra_token_time: faults.extra_token_time,
        stream_fault,
    })
}

fn record_run(shared: &EngineShared, call: &HttpCall) {
    let mut record = shared.record();
    record.record_run(call);
    if shared.is_draining() {
        record.runs_while_draining += 1;
    }
}

async fn prefill(shared: &EngineShared, process: &EngineProcess, request: &CompletionRequest) {
    let prefix = prefix_hash(&request.prompt);
    let hit = {
        let mut state = shared.faults();
        let FaultState { faults, random } = &mut *state;
        process.touch_cache(prefix, &mut faults.lost_cache_events, random)
    };
    let tokens = if hit {
        1
    } else {
        prompt_tokens(&request.prompt)
    };
    let micros = process.options.prefill_time.micros() * u64::from(tokens);
    tokio::time::sleep(TimeSpan::from_micros(micros).duration()).await;
}

fn has_crash_marker(faults: &EngineFaults, prompt: &str) -> bool {
    let mut markers = faults.crash_markers.iter();
    markers.any(|marker| prompt.contains(marker.as_ref()))
}

fn answer_plan(
    process: &EngineProcess,
    request: &CompletionRequest,
    version: &str,
    crossed: bool,
) -> (AnswerEnvelope, TokenPlan) {
    let options = &process.options;
    let (shortest, longest) = (options.shortest_answer, options.longest_answer);
    let length = answer_length(options.seed, &request.prompt, shortest, longest);
    let exceeds_limit = request.token_limit < length;
    let envelope = AnswerEnvelope::new(request.api, &request.id, &request.model);
    let seed = answer_seed(&request.model, version, &request.prompt);
    let plan = TokenPlan {
        seed,
        next: request.resume_from,
        end: length.min(request.token_limit),
        reason: if exceeds_limit {
            FinishReason::Length
        } else {
            FinishReason::Stop
        },
        prompt_tokens: prompt_tokens(&request.prompt),
    };
    if !crossed {
        return (envelope, plan);
    }
    let (envelope, seed) = other_answer(request, version);
    (envelope, TokenPlan { seed, ..plan })
}

/// Returns the fault of a stream and the number of tokens before it; truncation
/// takes precedence over crossing.
fn choose_stream_fault(
    shared: &EngineShared,
    request: &CompletionRequest,
    version: &str,
    faults: AnswerFaults,
) -> Option<(u32, StreamFault)> {
    let state = shared.faults();
    let after = state.faults.turn_after_tokens;
    if faults.truncated && state.faults.truncated_cleanly {
        return Some((after, StreamFault::EndCleanly));
    }
    if faults.truncated {
        return Some((after, StreamFault::Break));
    }
    let (envelope, seed) = other_answer(request, version);
    faults
        .crossed_stream
        .then_some((after, StreamFault::Cross(envelope, seed)))
}

/// Returns the envelope and seed of an answer to a different request.
fn other_answer(request: &CompletionRequest, version: &str) -> (AnswerEnvelope, u64) {
    let id = format!("other-{}", request.id);
    let prompt = format!("other {}", request.prompt);
    let envelope = AnswerEnvelope::new(request.api, &id, &request.model);
    (envelope, answer_seed(&request.model, version, &prompt))
}
