//! Router for operators.

use super::AdminState;
use super::change::{change_configuration, change_entry, read_configuration};
use super::credential::{check_credential, refuse};
use super::key::{give_key, withdraw_key};
use super::status::{show_health, show_metrics, show_readiness, show_status, show_traces};
use salvo::http::StatusCode;
use salvo::oapi::OpenApi;
use salvo::{Response, Router, affix_state, handler};

#[handler]
async fn not_found(response: &mut Response) {
    refuse(
        response,
        StatusCode::NOT_FOUND,
        "path_not_found",
        "unknown path; see docs/OPERATIONS.md",
    );
}

/// Returns the router of the HTTP API for operators.
pub(crate) fn admin_router(state: AdminState) -> Router {
    let guarded = Router::with_path("v1")
        .hoop(check_credential)
        .push(Router::with_path("configuration").get(read_configuration))
        .push(Router::with_path("changes").post(change_configuration))
        .push(Router::with_path("status").get(show_status))
        .push(Router::with_path("traces").get(show_traces))
        .push(Router::with_path("keys/{digest}").delete(withdraw_key))
        .push(Router::with_path("accounts/{id}/keys").post(give_key))
        .push(
            Router::with_path("{kind}/{id}")
                .put(change_entry)
                .delete(change_entry),
        );
    let paths = Router::new()
        .push(Router::with_path("healthz").get(show_health))
        .push(Router::with_path("readyz").get(show_readiness))
        .push(Router::with_path("metrics").get(show_metrics))
        .push(guarded);
    let document = OpenApi::new("clementinepond administration", env!("CARGO_PKG_VERSION"))
        .merge_router(&paths)
        .into_router("/openapi.json");
    Router::new()
        .hoop(affix_state::inject(state))
        .push(document)
        .push(paths)
        .push(Router::with_path("{**path}").goal(not_found))
}
