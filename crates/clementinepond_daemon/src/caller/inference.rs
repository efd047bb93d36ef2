//! Handlers of the inference API.

use super::CallerState;
use super::admission::{acquire_slot, authenticate, new_request_id, read_body, read_idempotency};
use super::answer::{AnswerForm, answer};
use super::error_body::CallerError;
use super::parse::{ParsedCall, parse_call};
use crate::configuration::KeyLookup;
use crate::node::{CallBody, CallKind};
use clementinepond_decide::claim::{BodyFingerprint, key_date};
use clementinepond_decide::crash::RequestFingerprint;
use clementinepond_decide::request::{IdempotencyKey, RequestProfile};
use clementinepond_decide::route::{PrefixHash, RouteTarget};
use clementinepond_types::{RequestId, TokenCount};
use salvo::writing::Json;
use salvo::{Depot, Request, Response, handler};
use serde_json::json;
use std::time::{SystemTime, UNIX_EPOCH};

const CHAT_PATH: &str = "/v1/chat/completions";
const COMPLETION_PATH: &str = "/v1/completions";

#[handler]
pub(crate) async fn chat_completion(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    handle(CHAT_PATH, request, depot, response).await;
}

#[handler]
pub(crate) async fn completion(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    handle(COMPLETION_PATH, request, depot, response).await;
}

#[handler]
pub(crate) async fn list_models(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(state) = depot.get_typed::<CallerState>() else {
        return;
    };
    let snapshot = state.snapshot();
    if let Err(error) = authenticate(request, &snapshot, state.clock.now()) {
        error.render(None, response);
        return;
    }
    let models = snapshot.configuration.models.keys().map(|id| id.as_str());
    let adapters = snapshot.configuration.adapters.keys();
    let names = models.chain(adapters.map(|id| id.as_str()));
    let data: Vec<_> = names
        .map(|id| json!({"id": id, "object": "model", "created": 0, "owned_by": "clementinepond"}))
        .collect();
    response.render(Json(json!({"object": "list", "data": data})));
}

async fn handle(path: &'static str, request: &mut Request, depot: &Depot, response: &mut Response) {
    let Ok(state) = depot.get_typed::<CallerState>() else {
        return;
    };
    let request_id = match new_request_id() {
        Ok(request_id) => request_id,
        Err(error) => return error.render(None, response),
    };
    if let Err(error) = serve(path, state, &request_id, request, response).await {
        state.metrics.record_refusal(error.code);
        error.render(Some(&request_id), response);
    }
}

async fn serve(
    path: &'static str,
    state: &CallerState,
    request_id: &RequestId,
    request: &mut Request,
    response: &mut Response,
) -> Result<(), CallerError> {
    let snapshot = state.snapshot();
    let lookup = authenticate(request, &snapshot, state.clock.now())?;
    let idempotency = read_idempotency(request)?;
    let slot = acquire_slot(state)?;
    let body = read_body(state, request).await?;
    let call = parse_call(&body, &lookup.account, &snapshot.configuration)?;
    let is_repeatable = snapshot
        .configuration
        .models
        .get(&call.model)
        .is_none_or(|model| model.repeatable);
    let profile = profile(state, &lookup, &call, &body, idempotency, is_repeatable);
    let form = if call.is_streamed {
        AnswerForm::Stream
    } else {
        AnswerForm::Single
    };
    let body = CallBody {
        request_id: request_id.clone(),
        priority: lookup.profile.priority,
        is_repeatable,
        kind: CallKind::Inference {
            path,
            is_streamed: call.is_streamed,
            fields: call.fields,
        },
    };
    answer(
        state,
        profile,
        Some(lookup.digest),
        body,
        form,
        slot,
        response,
    )
    .await
}

fn profile(
    state: &CallerState,
    lookup: &KeyLookup,
    call: &ParsedCall,
    body: &[u8],
    idempotency: Option<Box<str>>,
    is_repeatable: bool,
) -> RequestProfile {
    let now = state.clock.now();
    RequestProfile {
        account: Some(lookup.account.clone()),
        target: RouteTarget::Model {
            model: call.model.clone(),
            adapter: call.adapter.clone(),
        },
        prompt: TokenCount::new(call.prompt_tokens),
        output: TokenCount::new(call.answer_tokens),
        priority: lookup.profile.priority,
        repeatable: is_repeatable,
        idempotency: idempotency.map(|key| idempotency_key(key, body)),
        fingerprint: RequestFingerprint::new(&lookup.account, &call.model, body),
        prefix: Some(PrefixHash::of_prompt(&call.prompt)),
        admission_deadline: now + state.request.admission_wait,
        deadline: now + state.request.total_timeout,
    }
}

/// Returns the idempotency key with its date and the fingerprint of the call.
pub(super) fn idempotency_key(key: Box<str>, body: &[u8]) -> IdempotencyKey {
    let unix_time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let unix_millis = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
    IdempotencyKey {
        date: key_date(&key, unix_millis),
        fingerprint: BodyFingerprint::of(body),
        key,
    }
}
