//! Handlers for the status of the VM.

use super::AdminState;
use salvo::http::StatusCode;
use salvo::oapi::endpoint;
use salvo::writing::{Json, Text};
use salvo::{Depot, Response};
use serde_json::json;

/// Returns 200 while the process serves requests.
#[endpoint(summary = "Returns 200 while the process serves requests.")]
pub(super) async fn show_health(response: &mut Response) {
    response.render(Text::Plain("ok\n"));
}

/// Returns 200 while the load balancer may send callers to this VM, and 503 otherwise.
#[endpoint(summary = "Returns 200 while callers may be sent to this VM, and 503 otherwise.")]
pub(super) async fn show_readiness(depot: &mut Depot, response: &mut Response) {
    let Ok(state) = depot.get_typed::<AdminState>() else {
        return;
    };
    if *state.ready.borrow() && !state.stopping.is_cancelled() {
        response.render(Text::Plain("ready\n"));
    } else {
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        response.render(Text::Plain("not ready\n"));
    }
}

#[endpoint(summary = "Returns all metrics in the Prometheus text format.")]
pub(super) async fn show_metrics(depot: &mut Depot, response: &mut Response) {
    let Ok(state) = depot.get_typed::<AdminState>() else {
        return;
    };
    response.render(Text::Plain(state.metrics.text()));
}

#[endpoint(summary = "Returns roster, accounts, endpoints, plan and configuration of this VM.")]
pub(super) async fn show_status(depot: &mut Depot, response: &mut Response) {
    let Ok(state) = depot.get_typed::<AdminState>() else {
        return;
    };
    let node = state.node.status().await;
    let snapshot = state.snapshot.borrow().clone();
    let age = state.clock.now().since(snapshot.applied);
    response.render(Json(json!({
        "vm": state.vm,
        "data_centre": state.data_centre,
        "stopping": state.stopping.is_cancelled(),
        "configuration": {
            "version": snapshot.version,
            "age_ms": age.millis(),
            "accounts": snapshot.configuration.accounts.len(),
            "keys": snapshot.configuration.keys.len(),
            "models": snapshot.configuration.models.len(),
            "exceptions": snapshot.configuration.exceptions,
        },
        "node": node,
    })));
}

#[endpoint(summary = "Returns the spans of the most recent requests.")]
pub(super) async fn show_traces(depot: &mut Depot, response: &mut Response) {
    let Ok(state) = depot.get_typed::<AdminState>() else {
        return;
    };
    response.render(Json(state.trace_log.records()));
}
