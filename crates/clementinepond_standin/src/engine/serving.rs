//! From a request to its answer.

use super::answer_shape::{AnswerShape, FinishReason};
use super::engine_faults::EngineFaults;
use super::engine_life::EngineLife;
use super::engine_server::{EngineShared, FaultState};
use super::generation::{Generation, StreamTurn, TokenPlan};
use super::serve_request::ServeRequest;
use super::token_text::{answer_length, answer_seed, prefix_hash, prompt_tokens};
use crate::network::HttpCall;
use clementinepond_types::TimeSpan;
use std::sync::Arc;

/// Reason for which nothing was generated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotServed {
    /// Refused before anything ran.
    NotRun(&'static str),
    /// The request crashed the engine.
    Crashed,
}

/// Faults that strike one answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AnswerFaults {
    refused: bool,
    crossed: bool,
    crossed_stream: bool,
    truncated: bool,
    pub(super) reset_after_run: bool,
    late_by: TimeSpan,
    slow_by: TimeSpan,
}

impl AnswerFaults {
    pub(super) fn draw(shared: &EngineShared) -> Self {
        let mut state = shared.faults();
        let FaultState { faults, random } = &mut *state;
        let late = faults.late_answers.strikes(random);
        let slow = faults.slow_answers.strikes(random);
        Self {
            refused: faults.refusals.strikes(random),
            crossed: faults.crossed_answers.strikes(random),
            crossed_stream: faults.crossed_streams.strikes(random),
            truncated: faults.truncated_streams.strikes(random),
            reset_after_run: faults.resets_after_run.strikes(random),
            late_by: if late { faults.late_by } else { TimeSpan::ZERO },
            slow_by: if slow {
                faults.slow_token_time
            } else {
                TimeSpan::ZERO
            },
        }
    }
}

/// Waits for a place, reads the prompt and prepares the answer.
pub(super) async fn prepare(
    shared: &EngineShared,
    life: &Arc<EngineLife>,
    call: &HttpCall,
    request: &ServeRequest,
    faults: AnswerFaults,
) -> Result<Generation, NotServed> {
    if faults.refused {
        return Err(NotServed::NotRun(
            "the engine refuses; try another endpoint",
        ));
    }
    if life.lock().memory.serving(&request.model).is_none() {
        return Err(NotServed::NotRun(
            "the model is not loaded; try another endpoint",
        ));
    }
    let Some(slot) = life.batch.enter(request.priority).await else {
        return Err(NotServed::NotRun("the queue is full; try another endpoint"));
    };
    let Some(run) = life.begin_run(&request.id, &request.model) else {
        return Err(NotServed::NotRun(
            "the model was unloaded; try another endpoint",
        ));
    };
    note_run(shared, call);
    read_prompt(shared, life, request).await;
    if is_poison(&shared.faults().faults, &request.prompt) {
        let down_for = shared.faults().faults.down_for;
        shared.crash(down_for);
        return Err(NotServed::Crashed);
    }
    tokio::time::sleep(faults.late_by.duration()).await;
    let version = run.model.1.clone();
    let turn = stream_turn(shared, request, &version, faults);
    let (shape, plan) = answer_plan(life, request, &version, faults.crossed);
    Ok(Generation {
        life: Arc::clone(life),
        run,
        _slot: slot,
        shape,
        plan,
        extra_token_time: faults.slow_by,
        turn,
    })
}

fn note_run(shared: &EngineShared, call: &HttpCall) {
    let mut record = shared.record();
    record.note_run(call);
    if shared.is_draining() {
        record.runs_while_draining += 1;
    }
}

async fn read_prompt(shared: &EngineShared, life: &EngineLife, request: &ServeRequest) {
    let prefix = prefix_hash(&request.prompt);
    let hit = {
        let mut state = shared.faults();
        let FaultState { faults, random } = &mut *state;
        life.touch_cache(prefix, &mut faults.lost_cache_events, random)
    };
    let tokens = if hit {
        1
    } else {
        prompt_tokens(&request.prompt)
    };
    let micros = life.options.prefill_time.micros() * u64::from(tokens);
    tokio::time::sleep(TimeSpan::from_micros(micros).duration()).await;
}

fn is_poison(faults: &EngineFaults, prompt: &str) -> bool {
    let mut markers = faults.crash_markers.iter();
    markers.any(|marker| prompt.contains(marker.as_ref()))
}

fn answer_plan(
    life: &EngineLife,
    request: &ServeRequest,
    version: &str,
    crossed: bool,
) -> (AnswerShape, TokenPlan) {
    let options = &life.options;
    let (shortest, longest) = (options.shortest_answer, options.longest_answer);
    let length = answer_length(options.seed, &request.prompt, shortest, longest);
    let cut = request.token_limit < length;
    let shape = AnswerShape::new(request.form, &request.id, &request.model);
    let seed = answer_seed(&request.model, version, &request.prompt);
    let plan = TokenPlan {
        seed,
        next: request.resume_from,
        end: length.min(request.token_limit),
        reason: if cut {
            FinishReason::Length
        } else {
            FinishReason::Stop
        },
        prompt_tokens: prompt_tokens(&request.prompt),
    };
    if !crossed {
        return (shape, plan);
    }
    let (shape, seed) = other_answer(request, version);
    (shape, TokenPlan { seed, ..plan })
}

fn stream_turn(
    shared: &EngineShared,
    request: &ServeRequest,
    version: &str,
    faults: AnswerFaults,
) -> Option<(u32, StreamTurn)> {
    let state = shared.faults();
    let after = state.faults.turn_after_tokens;
    if faults.truncated && state.faults.truncated_cleanly {
        return Some((after, StreamTurn::EndCleanly));
    }
    if faults.truncated {
        return Some((after, StreamTurn::Break));
    }
    let (shape, seed) = other_answer(request, version);
    faults
        .crossed_stream
        .then_some((after, StreamTurn::Cross(shape, seed)))
}

/// Returns an answer that belongs to another request.
fn other_answer(request: &ServeRequest, version: &str) -> (AnswerShape, u64) {
    let id = format!("other-{}", request.id);
    let prompt = format!("other {}", request.prompt);
    let shape = AnswerShape::new(request.form, &id, &request.model);
    (shape, answer_seed(&request.model, version, &prompt))
}
