//! Authentication of operators.

use super::AdminState;
use crate::configuration::key_digest;
use salvo::http::StatusCode;
use salvo::http::header::AUTHORIZATION;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Request, Response, handler};
use serde_json::{Value, json};
use subtle::ConstantTimeEq;

/// Renders an error response for an operator.
pub(super) fn refuse(response: &mut Response, status: StatusCode, code: &str, message: &str) {
    response.status_code(status);
    response.render(Json(error_value(code, message)));
}

pub(super) fn error_value(code: &str, message: &str) -> Value {
    json!({"error": {"type": "administration_error", "code": code, "message": message}})
}

#[handler]
pub(super) async fn check_credential(
    request: &mut Request,
    depot: &mut Depot,
    response: &mut Response,
    ctrl: &mut FlowCtrl,
) {
    let header = request.headers_mut().remove(AUTHORIZATION);
    let given = header
        .as_ref()
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.strip_prefix("Bearer "))
        .map(|key| key_digest(key.trim()));
    let is_valid = depot.get_typed::<AdminState>().is_ok_and(|state| {
        given.is_some_and(|given| given.bytes().ct_eq(state.credential_digest.bytes()).into())
    });
    if !is_valid {
        refuse(
            response,
            StatusCode::UNAUTHORIZED,
            "invalid_credential",
            "the operator credential is missing or wrong; send Authorization: Bearer CREDENTIAL",
        );
        ctrl.skip_rest();
    }
}
