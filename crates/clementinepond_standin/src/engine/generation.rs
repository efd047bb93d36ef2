//! Generation of an answer, one token per step of the batch.

use super::answer_envelope::{AnswerEnd, AnswerEnvelope, FinishReason, STREAM_END, TokenUsage};
use super::batch_queue::BatchSlot;
use super::engine_process::{EngineProcess, InFlightGuard};
use super::token_text::token_text;
use bytes::Bytes;
use clementinepond_types::TimeSpan;
use std::io;
use std::sync::Arc;
use tokio::time::Instant;

/// Fault that affects a stream after a number of tokens.
#[derive(Debug, Clone)]
pub(super) enum StreamFault {
    /// The connection is aborted.
    Break,
    /// The body ends normally, without the `[DONE]` event.
    EndCleanly,
    /// Chunks of another answer follow, with its envelope and seed.
    Cross(AnswerEnvelope, u64),
}

/// Tokens to generate: indices from `next` to before `end`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TokenPlan {
    pub(super) seed: u64,
    pub(super) next: u32,
    pub(super) end: u32,
    pub(super) reason: FinishReason,
    pub(super) prompt_tokens: u32,
}

impl TokenPlan {
    fn answer_end(&self) -> AnswerEnd {
        AnswerEnd {
            reason: self.reason,
            usage: TokenUsage::new(self.prompt_tokens, self.end),
        }
    }
}

/// Answer that is being generated; occupies a slot of the batch.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) process: Arc<EngineProcess>,
    pub(super) run: InFlightGuard,
    pub(super) _slot: BatchSlot,
    pub(super) envelope: AnswerEnvelope,
    pub(super) plan: TokenPlan,
    pub(super) extra_token_time: TimeSpan,
    pub(super) stream_fault: Option<(u32, StreamFault)>,
}

/// Server-sent events of a generation.
#[derive(Debug)]
pub(super) struct EventStream {
    generation: Generation,
    sent: u32,
    last_step: Instant,
    state: StreamState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamState {
    Tokens,
    DoneEvent,
    Closed,
}

/// The request was cancelled, or its engine process ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunCancelled;

impl Generation {
    /// Generates the complete answer and returns its JSON body.
    pub(super) async fn complete(mut self) -> Result<Vec<u8>, RunCancelled> {
        let mut text = String::new();
        let mut last_step = Instant::now();
        while self.plan.next < self.plan.end {
            last_step = self.step(last_step).await?;
            text.push_str(&token_text(self.plan.seed, self.plan.next));
            self.plan.next += 1;
        }
        Ok(self.envelope.complete(&text, self.plan.answer_end()))
    }

    /// Converts the generation into a stream of server-sent events.
    pub(super) fn events(self) -> EventStream {
        EventStream {
            generation: self,
            sent: 0,
            last_step: Instant::now(),
            state: StreamState::Tokens,
        }
    }

    /// Waits for the next step of the batch; returns its time.
    async fn step(&self, last: Instant) -> Result<Instant, RunCancelled> {
        let options = &self.process.options;
        let (running, _) = self.process.batch.load();
        let by_load = options.token_time_per_running.micros() * running as u64;
        let time = options.token_time + TimeSpan::from_micros(by_load) + self.extra_token_time;
        let next = last + time.duration();
        if time == TimeSpan::ZERO {
            tokio::task::yield_now().await;
            return if self.run.cancel.is_cancelled() {
                Err(RunCancelled)
            } else {
                Ok(next)
            };
        }
        let waited = self
            .run
            .cancel
            .run_until_cancelled(tokio::time::sleep_until(next));
        waited.await.map(|()| next).ok_or(RunCancelled)
    }
}

impl EventStream {
    /// Returns the next event; an error aborts the connection.
    pub(super) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        match self.state {
            StreamState::Closed => return None,
            StreamState::DoneEvent => {
                self.state = StreamState::Closed;
                return Some(Ok(STREAM_END));
            }
            StreamState::Tokens => {}
        }
        match self.take_due_fault() {
            Some(StreamFault::EndCleanly) => return None,
            Some(StreamFault::Break) => {
                // Lets the server flush the chunks already written before the abort.
                tokio::task::yield_now().await;
                return Some(self.abort_stream("truncated"));
            }
            Some(StreamFault::Cross(envelope, seed)) => {
                self.generation.envelope = envelope;
                self.generation.plan.seed = seed;
            }
            None => {}
        }
        Some(self.next_token().await)
    }

    async fn next_token(&mut self) -> io::Result<Bytes> {
        let generation = &mut self.generation;
        let left = generation.plan.end.saturating_sub(generation.plan.next);
        let mut text = String::new();
        if left > 0 {
            match generation.step(self.last_step).await {
                Ok(step) => self.last_step = step,
                Err(RunCancelled) => return self.abort_stream("cancelled"),
            }
            text = token_text(generation.plan.seed, generation.plan.next);
            generation.plan.next += 1;
        }
        let last = left <= 1;
        if last {
            self.state = StreamState::DoneEvent;
        }
        let end = last.then(|| generation.plan.answer_end());
        let chunk = generation.envelope.chunk(self.sent == 0, &text, end);
        self.sent += 1;
        Ok(chunk)
    }

    fn take_due_fault(&mut self) -> Option<StreamFault> {
        let due = self.generation.stream_fault.as_ref();
        due.is_some_and(|(after, _)| *after <= self.sent)
            .then(|| self.generation.stream_fault.take())
            .flatten()
            .map(|(_, stream_fault)| stream_fault)
    }

    fn abort_stream(&mut self, reason: &'static str) -> io::Result<Bytes> {
        self.state = StreamState::Closed;
        Err(io::Error::other(reason))
    }
}
