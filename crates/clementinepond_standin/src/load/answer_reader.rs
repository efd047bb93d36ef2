//! Incremental parsing of answers and event streams.

use clementinepond_types::TimeSpan;
use serde::Deserialize;
use tokio::time::Instant;

/// Content of an answer received so far.
#[derive(Debug, Default)]
pub(super) struct ReceivedAnswer {
    pub(super) text: String,
    pub(super) events: u64,
    pub(super) completion_tokens: Option<u32>,
    pub(super) finish_reason: Option<Box<str>>,
    pub(super) ids: Vec<Box<str>>,
    pub(super) done: bool,
    pub(super) malformed: bool,
    pub(super) first_event_at: Option<Instant>,
    pub(super) token_gaps: Vec<TimeSpan>,
    last_event_at: Option<Instant>,
}

#[derive(Debug, Deserialize)]
struct AnswerBody {
    id: Box<str>,
    choices: Vec<AnswerChoice>,
    #[serde(default)]
    usage: Option<AnswerUsage>,
}

#[derive(Debug, Deserialize)]
struct AnswerChoice {
    #[serde(default)]
    text: Option<Box<str>>,
    #[serde(default)]
    delta: Option<AnswerMessage>,
    #[serde(default)]
    message: Option<AnswerMessage>,
    #[serde(default)]
    finish_reason: Option<Box<str>>,
}

#[derive(Debug, Deserialize)]
struct AnswerMessage {
    #[serde(default)]
    content: Option<Box<str>>,
}

#[derive(Debug, Deserialize)]
struct AnswerUsage {
    completion_tokens: u32,
}

impl ReceivedAnswer {
    /// Adds a complete JSON body or the data of one event.
    pub(super) fn add_json(&mut self, json: &[u8]) {
        let Ok(body) = serde_json::from_slice::<AnswerBody>(json) else {
            self.malformed = true;
            return;
        };
        if self.ids.last() != Some(&body.id) {
            self.ids.push(body.id);
        }
        if let Some(usage) = body.usage {
            self.completion_tokens = Some(usage.completion_tokens);
        }
        for choice in body.choices {
            let message = choice.delta.or(choice.message);
            let content = choice.text.or(message.and_then(|message| message.content));
            self.text.push_str(content.as_deref().unwrap_or_default());
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        }
    }

    fn add_event(&mut self, event: &[u8]) {
        let Some(data) = event.strip_prefix(b"data:") else {
            // Ignores comments, which only keep the connection alive, and any
            // event that does not start with its data field.
            return;
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.done = true;
            return;
        }
        let now = Instant::now();
        self.first_event_at.get_or_insert(now);
        if let Some(last) = self.last_event_at.replace(now) {
            self.token_gaps.push((now - last).into());
        }
        self.events += 1;
        self.add_json(data);
    }
}

/// Splits a byte stream into server-sent events.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: Vec<u8>,
}

impl EventSplitter {
    /// Buffers bytes and adds the events that are now complete to the answer.
    pub(super) fn feed(&mut self, bytes: &[u8], answer: &mut ReceivedAnswer) {
        let without_returns = bytes.iter().filter(|byte| **byte != b'\r');
        self.buffer.extend(without_returns);
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            answer.add_event(event.trim_ascii());
        }
    }
}
