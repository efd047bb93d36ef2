//! Parsing of completion requests.

use crate::network::HttpCall;
use serde::Deserialize;
use uuid::Uuid;

/// Token limit of a request that sets none: only the answer length applies.
const DEFAULT_TOKEN_LIMIT: u32 = u32::MAX;

/// API that determines the format of a request and its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CompletionApi {
    /// `/v1/completions`.
    Completion,
    /// `/v1/chat/completions`.
    Chat,
}

/// Parsed completion request.
#[derive(Debug, Clone)]
pub(super) struct CompletionRequest {
    pub(super) api: CompletionApi,
    pub(super) id: Box<str>,
    pub(super) model: Box<str>,
    pub(super) prompt: Box<str>,
    pub(super) token_limit: u32,
    pub(super) stream: bool,
    pub(super) resume_from: u32,
    pub(super) priority: u8,
}

#[derive(Debug, Deserialize)]
struct RequestBody {
    model: Box<str>,
    #[serde(default)]
    prompt: Option<PromptField>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    resume_from: Option<u32>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum PromptField {
    One(String),
    Many(Vec<String>),
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: Option<ChatContent>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum ChatContent {
    Text(String),
    Parts(Vec<ChatPart>),
}

#[derive(Debug, Deserialize)]
struct ChatPart {
    #[serde(default)]
    text: String,
}

impl CompletionRequest {
    /// Parses a request; the error describes what is invalid in the body.
    pub(super) fn parse(api: CompletionApi, call: &HttpCall) -> Result<Self, String> {
        let body = serde_json::from_slice::<RequestBody>(&call.body);
        let body = body.map_err(|error| {
            format!(
                "invalid body: {error}; send a completion request in the format of the OpenAI API"
            )
        })?;
        let prompt = match api {
            CompletionApi::Completion => body.prompt.map_or_else(String::new, join_prompt),
            CompletionApi::Chat => chat_prompt(&body.messages),
        };
        let id = call.header("x-request-id");
        let priority = call.header("x-priority").and_then(|text| text.parse().ok());
        let token_limit = body.max_completion_tokens.or(body.max_tokens);
        Ok(Self {
            api,
            id: id.map_or_else(|| Uuid::new_v4().to_string().into(), Into::into),
            model: body.model,
            prompt: prompt.into(),
            token_limit: token_limit.unwrap_or(DEFAULT_TOKEN_LIMIT),
            stream: body.stream.unwrap_or_default(),
            resume_from: body.resume_from.unwrap_or_default(),
            priority: priority.unwrap_or_default(),
        })
    }
}

fn join_prompt(prompt: PromptField) -> String {
    match prompt {
        PromptField::One(text) => text,
        PromptField::Many(texts) => texts.concat(),
    }
}

/// Joins the messages of a chat, each as role, line feed, content, line feed.
fn chat_prompt(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push('\n');
        match &message.content {
            Some(ChatContent::Text(text)) => prompt.push_str(text),
            Some(ChatContent::Parts(parts)) => {
                prompt.extend(parts.iter().map(|part| part.text.as_str()));
            }
            None => {}
        }
        prompt.push('\n');
    }
    prompt
}
