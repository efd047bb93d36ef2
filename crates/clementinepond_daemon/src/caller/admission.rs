//! Checks that every caller request passes before it is sent to the node task.

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

/// Header that identifies retries of the same call.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Longest accepted idempotency key, in bytes.
const IDEMPOTENCY_LENGTH_LIMIT: usize = 255;

/// Removes the key from the request and returns the client account that it belongs to.
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
            "the key is missing, unknown or withdrawn, or its account is disabled; send Authorization: Bearer KEY with a valid key",
        )
    })
}

/// Acquires one of the VM's slots for concurrent requests.
pub(crate) fn acquire_slot(state: &CallerState) -> Result<OwnedSemaphorePermit, CallerError> {
    if state.stopping.is_cancelled() {
        return Err(CallerError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "this VM is shutting down; send the request again, the load balancer directs it to another VM",
        )
        .with_retry_after(Some(TimeSpan::from_millis(200))));
    }
    state.slots.clone().try_acquire_owned().map_err(|_| {
        CallerError::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "overloaded",
            "this VM has reached its limit of concurrent requests; send the request again after Retry-After",
        )
        .with_retry_after(Some(TimeSpan::from_secs(1)))
    })
}

/// Reads the body, up to `caller.body_limit_bytes` and within `caller.body_timeout`.
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
            "the request body did not arrive within the time limit; send a shorter body or use a faster connection",
        )),
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(error)) => Err(body_error(&error, limit)),
    }
}

fn body_error(error: &salvo::http::ParseError, limit: usize) -> CallerError {
    if matches!(error, salvo::http::ParseError::PayloadTooLarge) {
        let message = format!("the request body is larger than {limit} bytes; shorten it");
        return CallerError::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", &message);
    }
    CallerError::not_run(
        StatusCode::BAD_REQUEST,
        "body_incomplete",
        "the request body could not be read completely; send the request again",
    )
}

/// Returns the idempotency key, if the request has one.
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
            "the Idempotency-Key header must have 1 to 255 printable ASCII characters; correct it",
        )),
    }
}

/// Generates the identifier of a new request.
pub(crate) fn new_request_id() -> Result<RequestId, CallerError> {
    format!("req-{}", Uuid::now_v7().simple())
        .parse()
        .map_err(|_| {
            CallerError::not_run(
                StatusCode::INTERNAL_SERVER_ERROR,
                "internal",
                "the request identifier could not be generated; send the request again",
            )
        })
}
