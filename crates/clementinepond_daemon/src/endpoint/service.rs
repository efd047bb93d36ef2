//! Attempts at services that are not models.

use super::attempt::{Attempt, BROKEN, REQUEST_ID_HEADER, is_not_run, uri};
use crate::node::CallKind;
use bytes::Bytes;
use clementinepond_decide::request::AttemptOutcome;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use std::net::SocketAddr;

/// Size limit of the answer of a service, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;

impl Attempt {
    /// Sends the request to a service and forwards the answer to the caller.
    pub(super) async fn perform_service(&self, address: SocketAddr) -> AttemptOutcome {
        let Some(request) = self.service_request(address) else {
            return AttemptOutcome::NotSent;
        };
        let response = match self.send(request).await {
            Ok(response) => response,
            Err(outcome) => return outcome,
        };
        if is_not_run(response.headers()) {
            return AttemptOutcome::RefusedNotRun;
        }
        if !self.is_own(response.headers()) {
            return BROKEN;
        }
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, ANSWER_LIMIT_BYTES).collect();
        let limit = self.client.settings.answer_timeout.duration();
        let Ok(Ok(collected)) = tokio::time::timeout(limit, collected).await else {
            return BROKEN;
        };
        if parts.status.is_server_error() && self.body.is_repeatable {
            return BROKEN;
        }
        let body = collected.to_bytes();
        let record = self.record(parts.status, &parts.headers, &body);
        self.send_complete_answer(parts.status, &parts.headers, body)
            .await;
        AttemptOutcome::Complete {
            used_tokens: None,
            record,
        }
    }

    fn service_request(&self, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let CallKind::Service {
            method,
            path,
            headers,
            body,
        } = &self.body.kind
        else {
            return None;
        };
        let mut request = Request::builder()
            .method(method.clone())
            .uri(uri(address, path));
        for (name, value) in headers {
            request = request.header(name, value);
        }
        request
            .header(REQUEST_ID_HEADER, self.body.request_id.as_str())
            .body(Full::new(body.clone()))
            .ok()
    }
}
