//! Handlers for reading and changing the configuration.

use super::AdminState;
use super::credential::refuse;
use super::store::{self, StoreError, StoredConfiguration};
use clementinepond_settings::fleet::ConfigurationChange;
use clementinepond_types::ObjectVersion;
use salvo::http::StatusCode;
use salvo::oapi::endpoint;
use salvo::writing::Json;
use salvo::{Depot, Request, Response};
use serde_json::{Value, json};

/// Size limit of the body of a change, in bytes.
const CHANGE_LIMIT_BYTES: usize = 1024 * 1024;

#[endpoint(summary = "Returns the configuration and its version.")]
pub(super) async fn read_configuration(depot: &mut Depot, response: &mut Response) {
    let Ok(state) = depot.get_typed::<AdminState>() else {
        return;
    };
    match store::read(&state.platform).await {
        Ok(stored) => render(&stored, response),
        Err(error) => render_error(&error, response),
    }
}

#[endpoint(
    summary = "Applies one change to the configuration.",
    parameters(
        ("if-version" = Option<String>, Query, description = "Version of the configuration that the change is based on."),
    ),
)]
pub(super) async fn change_configuration(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    let Ok(state) = depot.get_typed::<AdminState>() else {
        return;
    };
    let change = match read_change(request).await {
        Ok(change) => change,
        Err(message) => {
            return refuse(
                response,
                StatusCode::BAD_REQUEST,
                "invalid_change",
                &message,
            );
        }
    };
    make_change(state, request, change, response).await;
}

/// Handles `PUT` and `DELETE` of one entry.
#[endpoint(
    summary = "Sets or removes one entry: accounts, models, adapters, endpoints, services or data-centres.",
    parameters(
        ("kind" = String, Path, description = "Kind of the entry."),
        ("id" = String, Path, description = "Name of the entry."),
        ("if-version" = Option<String>, Query, description = "Version of the configuration that the change is based on."),
    ),
)]
pub(super) async fn change_entry(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
) {
    let Ok(state) = depot.get_typed::<AdminState>() else {
        return;
    };
    let change = match read_entry(request).await {
        Ok(change) => change,
        Err(message) => {
            return refuse(response, StatusCode::BAD_REQUEST, "invalid_entry", &message);
        }
    };
    make_change(state, request, change, response).await;
}

pub(super) async fn make_change(
    state: &AdminState,
    request: &Request,
    change: ConfigurationChange,
    response: &mut Response,
) {
    if restores_withdrawn_key(state, &change) {
        return refuse(
            response,
            StatusCode::CONFLICT,
            "key_withdrawn",
            "the key was withdrawn and cannot be added again; issue a new key",
        );
    }
    let Some(expected) = expected_version(request, response) else {
        return;
    };
    match store::change(&state.platform, expected, change).await {
        Ok(stored) => {
            log::info!("event=configuration_stored version={}", stored.version);
            render_version(stored.version, response);
        }
        Err(error) => render_error(&error, response),
    }
}

/// Returns whether a change adds a key whose withdrawal is known to this VM.
///
/// A withdrawal is removed once a configuration lacks the key. A VM that learns of the withdrawal
/// late could then refuse a key that is valid again.
fn restores_withdrawn_key(state: &AdminState, change: &ConfigurationChange) -> bool {
    let ConfigurationChange::Key(digest, Some(_)) = change else {
        return false;
    };
    state.snapshot.borrow().withdrawn.contains(digest)
}

/// Returns the version that the change is based on, if the request names one.
///
/// Refuses the request and returns none if the version cannot be parsed.
pub(super) fn expected_version(
    request: &Request,
    response: &mut Response,
) -> Option<Option<ObjectVersion>> {
    let text = request.query::<String>("if-version");
    let version = text.map(|text| text.parse()).transpose();
    if version.is_err() {
        refuse(
            response,
            StatusCode::BAD_REQUEST,
            "invalid_version",
            "if-version must be an integer; use the version returned with the configuration",
        );
    }
    version.ok()
}

async fn read_change(request: &mut Request) -> Result<ConfigurationChange, String> {
    let value = read_value(request).await?;
    serde_json::from_value(value)
        .map_err(|error| format!("invalid change: {error}; see /openapi.json for the format"))
}

async fn read_value(request: &mut Request) -> Result<Value, String> {
    let body = request
        .payload_with_max_size(CHANGE_LIMIT_BYTES)
        .await
        .map_err(|error| format!("request body: {error}; send at most 1 MiB of JSON"))?;
    serde_json::from_slice(body)
        .map_err(|error| format!("the request body is not valid JSON: {error}; correct it"))
}

async fn read_entry(request: &mut Request) -> Result<ConfigurationChange, String> {
    let kind = request.param::<String>("kind").unwrap_or_default();
    let id = request.param::<String>("id").unwrap_or_default();
    let variant = match kind.as_str() {
        "accounts" => "account",
        "models" => "model",
        "adapters" => "adapter",
        "endpoints" => "endpoint",
        "services" => "service",
        "data-centres" => "data_centre",
        _ => {
            return Err(format!(
                "unknown kind of entry {kind}; use accounts, models, adapters, endpoints, services or data-centres"
            ));
        }
    };
    let entry = if request.method() == salvo::http::Method::DELETE {
        Value::Null
    } else {
        read_value(request).await?
    };
    serde_json::from_value(json!({variant: [id, entry]}))
        .map_err(|error| format!("invalid change: {error}; see /openapi.json for the format"))
}

fn render(stored: &StoredConfiguration, response: &mut Response) {
    response.render(Json(json!({
        "version": stored.version,
        "configuration": stored.configuration,
    })));
}

pub(super) fn render_version(version: ObjectVersion, response: &mut Response) {
    response.render(Json(json!({ "version": version })));
}

pub(super) fn render_error(error: &StoreError, response: &mut Response) {
    let (status, code) = match error {
        StoreError::Change(_) => (StatusCode::UNPROCESSABLE_ENTITY, "invalid_change"),
        StoreError::Stored(_) => (StatusCode::INTERNAL_SERVER_ERROR, "invalid_configuration"),
        StoreError::Version { .. } => (StatusCode::CONFLICT, "version_conflict"),
        StoreError::Unknown => (StatusCode::GATEWAY_TIMEOUT, "unknown"),
        StoreError::Platform(_) => (StatusCode::SERVICE_UNAVAILABLE, "platform_unavailable"),
    };
    refuse(response, status, code, &error.to_string());
}
