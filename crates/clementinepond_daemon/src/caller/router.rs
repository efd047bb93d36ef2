//! Router for callers.

use super::error_body::CallerError;
use super::inference::{chat_completion, completion, list_models};
use super::service::call_service;
use super::state::CallerState;
use salvo::http::StatusCode;
use salvo::{Response, Router, affix_state, handler};

#[handler]
async fn not_found(response: &mut Response) {
    CallerError::not_run(
        StatusCode::NOT_FOUND,
        "path_not_found",
        "unknown path; use /v1/chat/completions, /v1/completions, /v1/models or /services/NAME",
    )
    .render(None, response);
}

/// Returns the router of the HTTP API for callers.
pub(crate) fn caller_router(state: CallerState) -> Router {
    Router::new()
        .hoop(affix_state::inject(state))
        .push(Router::with_path("v1/chat/completions").post(chat_completion))
        .push(Router::with_path("v1/completions").post(completion))
        .push(Router::with_path("v1/models").get(list_models))
        .push(
            Router::with_path("services/{route}")
                .goal(call_service)
                .push(Router::with_path("{**rest}").goal(call_service)),
        )
        .push(Router::with_path("{**path}").goal(not_found))
}
