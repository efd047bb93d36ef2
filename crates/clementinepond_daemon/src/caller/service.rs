//! Handler of calls to services that are not models.

use super::CallerState;
use super::admission::{acquire_slot, authenticate, new_request_id, read_body, read_idempotency};
use super::answer::{AnswerForm, answer};
use super::error_body::CallerError;
use super::inference::idempotency_key;
use crate::configuration::{ConfigurationSnapshot, KeyLookup};
use crate::node::{CallBody, CallKind};
use clementinepond_decide::crash::RequestFingerprint;
use clementinepond_decide::request::RequestProfile;
use clementinepond_decide::route::RouteTarget;
use clementinepond_settings::fleet::ServiceRoute;
use clementinepond_types::{LocalTime, NameError, PriorityClass, RequestId, RouteName, TokenCount};
use salvo::http::header::{self, HeaderMap, HeaderName};
use salvo::http::{Method, StatusCode};
use salvo::{Depot, Request, Response, handler};

/// Headers that are not forwarded: hop-by-hop headers, headers that the client sets itself, and
/// credentials.
const DROPPED_HEADERS: [HeaderName; 9] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::COOKIE,
];

#[handler]
pub(crate) async fn call_service(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    let Ok(state) = depot.get_typed::<CallerState>() else {
        return;
    };
    let request_id = match new_request_id() {
        Ok(request_id) => request_id,
        Err(error) => return error.render(None, response),
    };
    if let Err(error) = serve(state, &request_id, request, response).await {
        state.metrics.record_refusal(error.code);
        error.render(Some(&request_id), response);
    }
}

async fn serve(
    state: &CallerState,
    request_id: &RequestId,
    request: &mut Request,
    response: &mut Response,
) -> Result<(), CallerError> {
    let snapshot = state.snapshot();
    let name = request
        .param::<String>("route")
        .and_then(|text| text.parse::<RouteName>().ok());
    let route = name
        .as_ref()
        .and_then(|name| snapshot.configuration.services.get(name));
    let (Some(name), Some(route)) = (name, route) else {
        return Err(CallerError::not_run(
            StatusCode::NOT_FOUND,
            "service_not_found",
            "the service is unknown; correct the name in the path",
        ));
    };
    let lookup = find_caller(route, request, &snapshot, state.clock.now())?;
    let idempotency = read_idempotency(request)?;
    let slot = acquire_slot(state)?;
    let payload = read_body(state, request).await?;
    let path = service_path(request);
    let method = request.method().clone();
    let call = [
        method.as_str().as_bytes(),
        b" ",
        path.as_bytes(),
        b"\n",
        &payload,
    ]
    .concat();
    let fingerprint = service_fingerprint(lookup.as_ref(), &name, &call)?;
    let is_repeatable = route.repeatable || is_safe(&method);
    let now = state.clock.now();
    let priority = lookup
        .as_ref()
        .map_or_else(PriorityClass::default, |lookup| lookup.profile.priority);
    let profile = RequestProfile {
        account: lookup.as_ref().map(|lookup| lookup.account.clone()),
        target: RouteTarget::Service(name),
        prompt: TokenCount::new(route.cost_tokens),
        output: TokenCount::ZERO,
        priority,
        repeatable: is_repeatable,
        idempotency: idempotency.map(|key| idempotency_key(key, &call)),
        fingerprint,
        prefix: None,
        admission_deadline: now + state.request.admission_wait,
        deadline: now + state.request.total_timeout,
    };
    let body = CallBody {
        request_id: request_id.clone(),
        priority,
        is_repeatable,
        kind: CallKind::Service {
            method,
            path: path.into(),
            headers: forwarded_headers(request.headers()),
            body: payload,
        },
    };
    let key = lookup.as_ref().map(|lookup| lookup.digest);
    answer(
        state,
        profile,
        key,
        body,
        AnswerForm::Single,
        slot,
        response,
    )
    .await
}

fn find_caller(
    route: &ServiceRoute,
    request: &mut Request,
    snapshot: &ConfigurationSnapshot,
    now: LocalTime,
) -> Result<Option<KeyLookup>, CallerError> {
    if route.open {
        request.headers_mut().remove(header::AUTHORIZATION);
        return Ok(None);
    }
    authenticate(request, snapshot, now).map(Some)
}

/// Returns the fingerprint of a call, from the client account, the route and the call itself.
fn service_fingerprint(
    lookup: Option<&KeyLookup>,
    route: &RouteName,
    call: &[u8],
) -> Result<RequestFingerprint, CallerError> {
    let account = lookup.map_or("open", |lookup| lookup.account.as_str());
    let parsed = account.parse().and_then(|account| {
        let target = route.as_str().parse()?;
        Ok(RequestFingerprint::new(&account, &target, call))
    });
    parsed.map_err(|error: NameError| {
        CallerError::not_run(
            StatusCode::BAD_REQUEST,
            "invalid_request",
            &error.to_string(),
        )
    })
}

fn service_path(request: &Request) -> String {
    let rest = request.param::<String>("rest").unwrap_or_default();
    let query = request
        .uri()
        .query()
        .map_or_else(String::new, |query| format!("?{query}"));
    format!("/{rest}{query}")
}

const fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in &DROPPED_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove("idempotency-key");
    forwarded.remove("x-request-id");
    forwarded
}
