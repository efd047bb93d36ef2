//! Parsing of inference calls.

use super::error_body::CallerError;
use clementinepond_settings::fleet::{ExceptionChange, FleetConfiguration};
use clementinepond_types::{AccountId, AdapterId, ModelId};
use salvo::http::StatusCode;
use serde_json::{Map, Value};

/// Prompt bytes counted as one token when tokens are reserved.
const BYTES_PER_TOKEN: u64 = 3;

/// Validated call of the inference API.
#[derive(Debug, Clone)]
pub(crate) struct ParsedCall {
    pub(crate) model: ModelId,
    pub(crate) adapter: Option<AdapterId>,
    pub(crate) is_streamed: bool,
    pub(crate) answer_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) prompt: Box<str>,
    pub(crate) fields: Map<String, Value>,
}

fn bad_request(message: &str) -> CallerError {
    CallerError::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
}

/// Parses and validates the body of a call.
pub(crate) fn parse_call(
    body: &[u8],
    account: &AccountId,
    configuration: &FleetConfiguration,
) -> Result<ParsedCall, CallerError> {
    let value: Value = serde_json::from_slice(body).map_err(|error| {
        bad_request(&format!(
            "the request body is not valid JSON: {error}; correct it"
        ))
    })?;
    let Value::Object(mut fields) = value else {
        return Err(bad_request(
            "the request body is not a JSON object; send an object",
        ));
    };
    let (model, adapter) = find_model(&fields, configuration)?;
    let is_streamed = read_flag(&fields, "stream")?;
    check_choices(&fields)?;
    let limit = answer_limit(account, configuration);
    let answer_tokens = read_answer_tokens(&fields, limit)?
        .unwrap_or_else(|| configuration.defaults.answer_tokens.min(limit));
    let prompt = read_prompt(&fields)?;
    fields.insert("max_tokens".to_owned(), answer_tokens.into());
    fields.remove("max_completion_tokens");
    fields.remove("resume_from");
    Ok(ParsedCall {
        model,
        adapter,
        is_streamed,
        answer_tokens,
        prompt_tokens: (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN),
        prompt: prompt.into(),
        fields,
    })
}

fn find_model(
    fields: &Map<String, Value>,
    configuration: &FleetConfiguration,
) -> Result<(ModelId, Option<AdapterId>), CallerError> {
    let name = fields.get("model").and_then(Value::as_str).ok_or_else(|| {
        bad_request(
            "field model is missing or not a string; set it to a model listed by GET /v1/models",
        )
    })?;
    if let Ok(model) = name.parse::<ModelId>()
        && configuration.models.contains_key(&model)
    {
        return Ok((model, None));
    }
    let adapter = name.parse::<AdapterId>().ok();
    let entry = adapter
        .as_ref()
        .and_then(|adapter| configuration.adapters.get(adapter));
    match entry {
        Some(entry) => Ok((entry.model.clone(), adapter)),
        None => Err(CallerError::not_run(
            StatusCode::NOT_FOUND,
            "model_not_found",
            "the model is unknown; use one listed by GET /v1/models",
        )),
    }
}

fn read_flag(fields: &Map<String, Value>, name: &str) -> Result<bool, CallerError> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(bad_request(&format!(
            "field {name} must be true or false; correct it"
        ))),
    }
}

fn check_choices(fields: &Map<String, Value>) -> Result<(), CallerError> {
    match fields.get("n") {
        None | Some(Value::Null) => Ok(()),
        Some(value) if value.as_u64() == Some(1) => Ok(()),
        Some(_) => Err(bad_request(
            "field n must be 1; send one request per answer",
        )),
    }
}

fn answer_limit(account: &AccountId, configuration: &FleetConfiguration) -> u64 {
    let exception = configuration
        .exceptions
        .iter()
        .find_map(|exception| match &exception.change {
            ExceptionChange::AnswerTokens { account: of, limit } if of == account => Some(*limit),
            _ => None,
        });
    exception.unwrap_or(configuration.defaults.answer_tokens_limit)
}

fn read_answer_tokens(fields: &Map<String, Value>, limit: u64) -> Result<Option<u64>, CallerError> {
    let value = ["max_completion_tokens", "max_tokens"]
        .iter()
        .find_map(|name| fields.get(*name).filter(|value| !value.is_null()));
    let Some(value) = value else {
        return Ok(None);
    };
    match value.as_u64() {
        Some(tokens) if (1..=limit).contains(&tokens) => Ok(Some(tokens)),
        _ => Err(bad_request(&format!(
            "field max_tokens or max_completion_tokens must be an integer from 1 to {limit}; correct it"
        ))),
    }
}

/// Returns the text of the prompt or of all messages, used for the prefix hash and the token
/// estimate.
fn read_prompt(fields: &Map<String, Value>) -> Result<String, CallerError> {
    if let Some(prompt) = fields.get("prompt") {
        return match prompt {
            Value::String(text) => Ok(text.clone()),
            _ => Err(bad_request(
                "field prompt must be a string; send one prompt per request",
            )),
        };
    }
    let messages = fields
        .get("messages")
        .and_then(Value::as_array)
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| {
            bad_request("neither prompt nor a non-empty messages array is set; send one of them")
        })?;
    let mut text = String::new();
    for message in messages {
        if !message.is_object() {
            return Err(bad_request(
                "every entry of messages must be an object; send role and content",
            ));
        }
        append_content(message.get("content"), &mut text);
    }
    Ok(text)
}

fn append_content(content: Option<&Value>, text: &mut String) {
    match content {
        Some(Value::String(part)) => text.push_str(part),
        Some(Value::Array(parts)) => {
            for part in parts {
                append_content(part.get("text"), text);
            }
        }
        _ => {}
    }
}
