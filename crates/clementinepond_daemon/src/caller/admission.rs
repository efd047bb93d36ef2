//! Steps that every caller's request passes before the node sees it.

use super::CallerState;
use super::error_body::CallerError;
use crate::configuration::{ConfigurationSnapshot, KeyLookup, find_key, key_digest};
use bytes::Bytes;
use clementinepond_types::{LocalTime, RequestId, TimeSpan};
use salvo::Request;
use salvo::http::StatusCode;
use salvo::http::header::AUTHORIZATION;
use tokio::sync::OwnedSemaphorePermit;
use uuid::Uuid;

/// Header by which callers mark repeats of one call.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Longest accepted idempotency key, in bytes.
const IDEMPOTENCY_LENGTH_LIMIT: usize = 255;

/// Reads the key, forgets it and returns what it allows.
pub(crate) fn authenticate(
    request: &mut Request,
    snapshot: &ConfigurationSnapshot,
    now: LocalTime,
) -> Result<KeyLookup, CallerError> {
    let header = request.headers_mut().remove(AUTHORIZATION);
    let key = header
        .as_ref()
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "));
    let lookup = key.and_then(|key| find_key(snapshot, key_digest(key.trim()), now));
    lookup.ok_or_else(|| {
        CallerError::not_run(
            StatusCode::UNAUTHORIZED,
            "invalid_key",
            "the key is missing, unknown or withdrawn; send Authorization: Bearer KEY with a valid key",
        )
    })
}

/// Takes one of the places for running requests.
pub(crate) fn acquire_slot(state: &CallerState) -> Result<OwnedSemaphorePermit, CallerError> {
    if state.stopping.is_cancelled() {
        return Err(CallerError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "this VM is stopping; send the request again, the balancer names another VM",
        )
        .with_retry_after(Some(TimeSpan::from_millis(200))));
    }
    state.slots.clone().try_acquire_owned().map_err(|_| {
        CallerError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "overloaded",
            "this VM serves as many requests as it may; send the request again after Retry-After",
        )
        .with_retry_after(Some(TimeSpan::from_secs(1)))
    })
}

/// Reads the body within the limits of size and time.
pub(crate) async fn read_body(
    state: &CallerState,
    request: &mut Request,
) -> Result<Bytes, CallerError> {
    let limit = state.caller.body_limit_bytes;
    let reading = request.payload_with_max_size(limit);
    match tokio::time::timeout(state.caller.body_timeout.duration(), reading).await {
        Err(_) => Err(CallerError::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            "the body did not arrive in time; send it faster or shorter",
        )),
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(error)) => Err(body_error(&error, limit)),
    }
}

fn body_error(error: &salvo::http::ParseError, limit: usize) -> CallerError {
    if matches!(error, salvo::http::ParseError::PayloadTooLarge) {
        let message = format!("the body is larger than {limit} bytes; shorten it");
        return CallerError::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", &message);
    }
    CallerError::not_run(
        StatusCode::BAD_REQUEST,
        "body_incomplete",
        "the body did not arrive whole; send it again",
    )
}

/// Reads the key by which the caller marks repeats.
pub(crate) fn read_idempotency(request: &Request) -> Result<Option<Box<str>>, CallerError> {
    let Some(value) = request.headers().get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str().ok().map(str::trim);
    match text {
        Some(text) if !text.is_empty() && text.len() <= IDEMPOTENCY_LENGTH_LIMIT => {
            Ok(Some(text.into()))
        }
        _ => Err(CallerError::not_run(
            StatusCode::BAD_REQUEST,
            "invalid_idempotency_key",
            "the Idempotency-Key is not 1 to 255 printable characters; correct it",
        )),
    }
}

/// Makes the identifier of a new request.
pub(crate) fn new_request_id() -> Result<RequestId, CallerError> {
    format!("req-{}", Uuid::now_v7().simple())
        .parse()
        .map_err(|_| {
            CallerError::not_run(
                StatusCode::INTERNAL_SERVER_ERROR,
                "internal",
                "no identifier could be made; send the request again",
            )
        })
}
