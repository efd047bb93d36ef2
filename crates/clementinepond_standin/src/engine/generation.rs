//! Tokens of one answer, one step of the batch after the other.

use super::answer_envelope::{AnswerEnd, AnswerEnvelope, FinishReason, STREAM_END, TokenUsage};
use super::batch_queue::BatchSlot;
use super::engine_process::{EngineProcess, InFlightGuard};
use super::token_text::token_text;
use bytes::Bytes;
use clementinepond_types::TimeSpan;
use std::io;
use std::sync::Arc;
use tokio::time::Instant;

/// What a fault makes of a stream after some tokens.
#[derive(Debug, Clone)]
pub(super) enum StreamFault {
    /// The connection breaks.
    Break,
    /// The stream ends without its last event.
    EndCleanly,
    /// Chunks of another answer follow.
    Cross(AnswerEnvelope, u64),
}

/// Tokens of an answer.
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

/// Answer that is being generated; holds its place in the batch.
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

/// Stream over the events of a generation.
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

/// Sign that a request was cancelled or its engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunCancelled;

impl Generation {
    /// Generates the whole answer.
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

    /// Turns into a stream of server-sent events.
    pub(super) fn events(self) -> EventStream {
        EventStream {
            generation: self,
            sent: 0,
            last_step: Instant::now(),
            state: StreamState::Tokens,
        }
    }

    /// Waits for the next step of the batch.
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
    /// Returns the next event; an error breaks the connection.
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
                // Lets the server send what was written before it breaks.
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
            .map(|(_, fault)| fault)
    }

    fn abort_stream(&mut self, reason: &'static str) -> io::Result<Bytes> {
        self.state = StreamState::Closed;
        Err(io::Error::other(reason))
    }
}
