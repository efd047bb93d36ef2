//! Handlers for issuing and withdrawing keys.

use super::AdminState;
use super::change::{expected_version, render_error, render_version};
use super::credential::refuse;
use super::store::{self, StoreError};
use crate::configuration::key_digest;
use clementinepond_settings::fleet::{ConfigurationChange, KeyEntry};
use clementinepond_types::{AccountId, KeyDigest};
use salvo::http::StatusCode;
use salvo::oapi::endpoint;
use salvo::writing::Json;
use salvo::{Depot, Request, Response};
use serde_json::json;
use uuid::Uuid;

/// Issues a key for an account and returns it; it cannot be read again.
#[endpoint(
    summary = "Issues a key for an account and returns it; it cannot be read again.",
    parameters(
        ("id" = String, Path, description = "Name of the account."),
        ("if-version" = Option<String>, Query, description = "Version of the configuration that the change is based on."),
        ("note" = Option<String>, Query, description = "Note for operators that describes the key."),
    ),
)]
pub(super) async fn give_key(request: &mut Request, depot: &mut Depot, response: &mut Response) {
    let Ok(state) = depot.get_typed::<AdminState>() else {
        return;
    };
    let account = request
        .param::<String>("id")
        .and_then(|text| text.parse::<AccountId>().ok());
    let Some(account) = account else {
        return refuse(
            response,
            StatusCode::BAD_REQUEST,
            "invalid_account",
            "the account name in the path is not valid; correct it",
        );
    };
    let Some(expected) = expected_version(request, response) else {
        return;
    };
    let key = format!("cp-{}{}", Uuid::new_v4().simple(), Uuid::new_v4().simple());
    let digest = key_digest(&key);
    let entry = KeyEntry {
        account,
        note: request.query::<String>("note").unwrap_or_default().into(),
    };
    let change = ConfigurationChange::Key(digest, Some(entry));
    match store::change(&state.platform, expected, change).await {
        Ok(stored) => {
            log::info!("event=key_given digest={digest} version={}", stored.version);
            response.render(Json(json!({
                "key": key,
                "digest": digest,
                "version": stored.version,
            })));
        }
        Err(error) => render_error(&error, response),
    }
}

/// Withdraws a key, on this VM if the platform does not answer.
#[endpoint(
    summary = "Withdraws a key; returns 202 if the platform does not answer and this VM notifies the other VMs.",
    parameters(
        ("digest" = String, Path, description = "Digest of the key."),
        ("if-version" = Option<String>, Query, description = "Version of the configuration that the change is based on."),
    ),
)]
pub(super) async fn withdraw_key(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    let Ok(state) = depot.get_typed::<AdminState>() else {
        return;
    };
    let digest = request
        .param::<String>("digest")
        .and_then(|text| text.parse::<KeyDigest>().ok());
    let Some(digest) = digest else {
        return refuse(
            response,
            StatusCode::BAD_REQUEST,
            "invalid_digest",
            "the key digest in the path is not valid; copy the complete digest from the configuration",
        );
    };
    let Some(expected) = expected_version(request, response) else {
        return;
    };
    let change = ConfigurationChange::Key(digest, None);
    match store::change(&state.platform, expected, change).await {
        Ok(stored) => render_version(stored.version, response),
        Err(StoreError::Platform(_) | StoreError::Unknown) => {
            withdraw_here(state, digest, response).await;
        }
        Err(error) => render_error(&error, response),
    }
}

/// Withdraws a key on this VM because the platform does not answer.
///
/// This VM notifies the other VMs, and stores the withdrawal once the platform answers again.
async fn withdraw_here(state: &AdminState, digest: KeyDigest, response: &mut Response) {
    match state.node.withdraw(digest).await {
        Some(Ok(copies)) => {
            response.status_code(StatusCode::ACCEPTED);
            response.render(Json(
                json!({"digest": digest, "copies": copies, "stored": false}),
            ));
        }
        Some(Err(limit)) => refuse(
            response,
            StatusCode::SERVICE_UNAVAILABLE,
            "too_many_withdrawals",
            &format!(
                "the limit of {limit} withdrawn keys that wait for the platform is reached; try again when the platform answers"
            ),
        ),
        None => refuse(
            response,
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "this VM is shutting down; send the request to another VM",
        ),
    }
}
