//! JSON encoding of answers and stream chunks in the format of the OpenAI API.

use super::completion_request::CompletionApi;
use bytes::Bytes;
use serde::Serialize;
use std::time::{SystemTime, UNIX_EPOCH};

/// Last event of a complete stream.
pub(super) const STREAM_END: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// Reason why an answer ended: `Stop` at its own length, `Length` at the token
/// limit of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum FinishReason {
    Stop,
    Length,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(super) struct TokenUsage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl TokenUsage {
    pub(super) fn new(prompt_tokens: u32, completion_tokens: u32) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens.saturating_add(completion_tokens),
        }
    }
}

/// Fields that only the last chunk or a complete answer contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AnswerEnd {
    pub(super) reason: FinishReason,
    pub(super) usage: TokenUsage,
}

/// Fields that are identical in all chunks of one answer.
#[derive(Debug, Clone)]
pub(super) struct AnswerEnvelope {
    pub(super) api: CompletionApi,
    pub(super) id: Box<str>,
    pub(super) model: Box<str>,
    pub(super) created: u64,
}

#[derive(Debug, Serialize)]
struct AnswerBody<'a, C> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [C; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<TokenUsage>,
}

#[derive(Debug, Serialize)]
struct TextChoice<'a> {
    index: u32,
    text: &'a str,
    logprobs: Option<()>,
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Serialize)]
struct ChatMessage<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    content: &'a str,
}

#[derive(Debug, Serialize)]
struct ChatChoice<'a> {
    index: u32,
    message: ChatMessage<'a>,
    logprobs: Option<()>,
    finish_reason: Option<FinishReason>,
}

#[derive(Debug, Serialize)]
struct DeltaChoice<'a> {
    index: u32,
    delta: ChatMessage<'a>,
    logprobs: Option<()>,
    finish_reason: Option<FinishReason>,
}

impl AnswerEnvelope {
    pub(super) fn new(api: CompletionApi, id: &str, model: &str) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            api,
            id: id.into(),
            model: model.into(),
            created: since.map_or(0, |time| time.as_secs()),
        }
    }

    /// Returns one server-sent event; `first` is whether it is the first of its
    /// stream, and `end` is set on the last one.
    pub(super) fn chunk(&self, first: bool, text: &str, end: Option<AnswerEnd>) -> Bytes {
        let finish_reason = end.map(|end| end.reason);
        let usage = end.map(|end| end.usage);
        let json = match self.api {
            CompletionApi::Completion => {
                let choice = TextChoice {
                    index: 0,
                    text,
                    logprobs: None,
                    finish_reason,
                };
                self.body("text_completion", choice, usage)
            }
            CompletionApi::Chat => {
                let choice = DeltaChoice {
                    index: 0,
                    delta: ChatMessage {
                        role: first.then_some("assistant"),
                        content: text,
                    },
                    logprobs: None,
                    finish_reason,
                };
                self.body("chat.completion.chunk", choice, usage)
            }
        };
        [b"data: ".as_slice(), &json, b"\n\n"].concat().into()
    }

    /// Returns the JSON body of a complete answer.
    pub(super) fn complete(&self, text: &str, end: AnswerEnd) -> Vec<u8> {
        let finish_reason = Some(end.reason);
        match self.api {
            CompletionApi::Completion => {
                let choice = TextChoice {
                    index: 0,
                    text,
                    logprobs: None,
                    finish_reason,
                };
                self.body("text_completion", choice, Some(end.usage))
            }
            CompletionApi::Chat => {
                let choice = ChatChoice {
                    index: 0,
                    message: ChatMessage {
                        role: Some("assistant"),
                        content: text,
                    },
                    logprobs: None,
                    finish_reason,
                };
                self.body("chat.completion", choice, Some(end.usage))
            }
        }
    }

    fn body<C: Serialize>(
        &self,
        object: &'static str,
        choice: C,
        usage: Option<TokenUsage>,
    ) -> Vec<u8> {
        let body = AnswerBody {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}
