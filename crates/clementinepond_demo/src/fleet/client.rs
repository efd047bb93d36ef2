//! Calls of the administration API.

use super::{FleetError, OPERATOR_CREDENTIAL, RunningVm};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Answer of the administration API.
#[derive(Debug, Clone)]
pub struct AdminAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Body, or `null` when it is not JSON.
    pub body: Value,
}

impl RunningVm {
    /// Calls the administration API as an operator.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub async fn administer(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<AdminAnswer, FleetError> {
        let fault = |problem: String| FleetError::Call {
            problem: problem.into(),
        };
        let body = body.map_or_else(Bytes::new, |body| body.to_string().into());
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.admin))
            .header("authorization", format!("Bearer {OPERATOR_CREDENTIAL}"))
            .body(Full::new(body))
            .map_err(|error| fault(error.to_string()))?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client
            .request(request)
            .await
            .map_err(|error| fault(error.to_string()))?;
        let status = response.status();
        let bytes = response.into_body().collect().await;
        let bytes = bytes.map_err(|error| fault(error.to_string()))?.to_bytes();
        Ok(AdminAnswer {
            status,
            body: serde_json::from_slice(&bytes).unwrap_or(Value::Null),
        })
    }
}
