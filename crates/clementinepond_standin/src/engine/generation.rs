//! Tokens of one answer, one step of the batch after the other.

use super::answer_shape::{AnswerEnd, AnswerShape, FinishReason, STREAM_END, TokenUsage};
use super::batch_queue::BatchSlot;
use super::engine_life::{EngineLife, RunGuard};
use super::token_text::token_text;
use bytes::Bytes;
use clementinepond_types::TimeSpan;
use std::io;
use std::sync::Arc;
use tokio::time::Instant;

/// What a fault makes of a stream after some tokens.
#[derive(Debug, Clone)]
pub(super) enum StreamTurn {
    /// The connection breaks.
    Break,
    /// The stream ends without its last event.
    EndCleanly,
    /// Chunks of another answer follow.
    Cross(AnswerShape, u64),
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
    pub(super) life: Arc<EngineLife>,
    pub(super) run: RunGuard,
    pub(super) _slot: BatchSlot,
    pub(super) shape: AnswerShape,
    pub(super) plan: TokenPlan,
    pub(super) extra_token_time: TimeSpan,
    pub(super) turn: Option<(u32, StreamTurn)>,
}

/// Stream over the events of a generation.
#[derive(Debug)]
pub(super) struct EventStream {
    generation: Generation,
    sent: u32,
    step_at: Instant,
    state: StreamState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamState {
    Tokens,
    End,
    Over,
}

/// Sign that a request was cancelled or its engine ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RunCancelled;

impl Generation {
    /// Generates the whole answer.
    pub(super) async fn whole(mut self) -> Result<Vec<u8>, RunCancelled> {
        let mut text = String::new();
        let mut step_at = Instant::now();
        while self.plan.next < self.plan.end {
            step_at = self.step(step_at).await?;
            text.push_str(&token_text(self.plan.seed, self.plan.next));
            self.plan.next += 1;
        }
        Ok(self.shape.whole(&text, self.plan.answer_end()))
    }

    /// Turns into a stream of server-sent events.
    pub(super) fn events(self) -> EventStream {
        EventStream {
            generation: self,
            sent: 0,
            step_at: Instant::now(),
            state: StreamState::Tokens,
        }
    }

    /// Waits for the next step of the batch.
    async fn step(&self, last: Instant) -> Result<Instant, RunCancelled> {
        let options = &self.life.options;
        let (running, _) = self.life.batch.load();
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
            StreamState::Over => return None,
            StreamState::End => {
                self.state = StreamState::Over;
                return Some(Ok(STREAM_END));
            }
            StreamState::Tokens => {}
        }
        match self.turn_now() {
            Some(StreamTurn::EndCleanly) => return None,
            Some(StreamTurn::Break) => {
                // Lets the server send what was written before it breaks.
                tokio::task::yield_now().await;
                return Some(self.break_off("truncated"));
            }
            Some(StreamTurn::Cross(shape, seed)) => {
                self.generation.shape = shape;
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
            match generation.step(self.step_at).await {
                Ok(at) => self.step_at = at,
                Err(RunCancelled) => return self.break_off("cancelled"),
            }
            text = token_text(generation.plan.seed, generation.plan.next);
            generation.plan.next += 1;
        }
        let last = left <= 1;
        if last {
            self.state = StreamState::End;
        }
        let end = last.then(|| generation.plan.answer_end());
        let chunk = generation.shape.chunk(self.sent == 0, &text, end);
        self.sent += 1;
        Ok(chunk)
    }

    fn turn_now(&mut self) -> Option<StreamTurn> {
        let due = self.generation.turn.as_ref();
        due.is_some_and(|(after, _)| *after <= self.sent)
            .then(|| self.generation.turn.take())
            .flatten()
            .map(|(_, turn)| turn)
    }

    fn break_off(&mut self, reason: &'static str) -> io::Result<Bytes> {
        self.state = StreamState::Over;
        Err(io::Error::other(reason))
    }
}
