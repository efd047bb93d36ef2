//! Attempts at model engines.

use super::attempt::{Attempt, BROKEN, PRIORITY_HEADER, REQUEST_ID_HEADER, is_not_run, uri};
use crate::node::{AnswerMessage, CallKind};
use bytes::Bytes;
use clementinepond_decide::request::{AttemptOutcome, RequestEvent};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyDataStream, BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Size limit of an answer that is not streamed, in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Data of the event that ends a stream.
const STREAM_END: &str = "[DONE]";

/// Fields that the daemon reads from an answer or chunk.
#[derive(Debug, Deserialize)]
struct AnswerHead {
    id: Box<str>,
    #[serde(default)]
    usage: Option<AnswerUsage>,
    #[serde(default)]
    choices: Vec<AnswerChoice>,
}

#[derive(Debug, Deserialize)]
struct AnswerUsage {
    total_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct AnswerChoice {
    #[serde(default)]
    delta: Option<AnswerDelta>,
    #[serde(default)]
    text: Option<Box<str>>,
}

#[derive(Debug, Deserialize)]
struct AnswerDelta {
    #[serde(default)]
    content: Option<Box<str>>,
}

impl AnswerHead {
    /// Returns 1 if a chunk contains text and 0 otherwise, counting each chunk as one token.
    fn tokens(&self) -> u64 {
        let has_text = self.choices.iter().any(|choice| {
            let delta = choice.delta.as_ref();
            let content = delta.and_then(|delta| delta.content.as_deref());
            let text = content.or(choice.text.as_deref());
            text.is_some_and(|text| !text.is_empty())
        });
        u64::from(has_text)
    }
}

impl Attempt {
    /// Sends the request to a model engine and forwards the answer to the caller.
    pub(super) async fn perform_inference(&self, address: SocketAddr) -> AttemptOutcome {
        let CallKind::Inference { is_streamed, .. } = &self.body.kind else {
            return AttemptOutcome::NotSent;
        };
        let Some(request) = self.inference_request(address) else {
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
        match response.status() {
            StatusCode::OK if *is_streamed => self.forward_stream(response).await,
            status if status.is_server_error() => BROKEN,
            _ => self.forward_answer(response).await,
        }
    }

    fn inference_request(&self, address: SocketAddr) -> Option<Request<Full<Bytes>>> {
        let CallKind::Inference { path, fields, .. } = &self.body.kind else {
            return None;
        };
        let mut fields = fields.clone();
        if self.order.resume_from > 0 {
            fields.insert("resume_from".to_owned(), self.order.resume_from.into());
        }
        let body = serde_json::to_vec(&Value::Object(fields)).ok()?;
        Request::builder()
            .method(Method::POST)
            .uri(uri(address, path))
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, self.body.request_id.as_str())
            .header(PRIORITY_HEADER, self.body.priority.to_string())
            .body(Full::new(Bytes::from(body)))
            .ok()
    }

    async fn forward_answer(&self, response: Response<Incoming>) -> AttemptOutcome {
        let (parts, body) = response.into_parts();
        let collected = Limited::new(body, ANSWER_LIMIT_BYTES).collect();
        let limit = self.client.settings.answer_timeout.duration();
        let Ok(Ok(collected)) = tokio::time::timeout(limit, collected).await else {
            return BROKEN;
        };
        let body = collected.to_bytes();
        if !parts.status.is_success() {
            self.send_complete_answer(parts.status, &parts.headers, body)
                .await;
            return AttemptOutcome::Rejected;
        }
        let Ok(head) = serde_json::from_slice::<AnswerHead>(&body) else {
            return BROKEN;
        };
        if *head.id != *self.body.request_id.as_str() {
            self.log_crossed_answer();
            return BROKEN;
        }
        let record = self.record(parts.status, &parts.headers, &body);
        self.send_complete_answer(parts.status, &parts.headers, body)
            .await;
        AttemptOutcome::Complete {
            used_tokens: head.usage.map(|usage| usage.total_tokens),
            record,
        }
    }

    async fn forward_stream(&self, response: Response<Incoming>) -> AttemptOutcome {
        let mut events = BodyDataStream::new(response.into_body()).eventsource();
        let limit = self.client.settings.token_timeout.duration();
        let mut used_tokens = None;
        let mut delivered_tokens = 0;
        loop {
            let next = tokio::time::timeout(limit, events.next()).await;
            let Ok(Some(Ok(event))) = next else {
                return AttemptOutcome::Broken { delivered_tokens };
            };
            if event.data == STREAM_END {
                return AttemptOutcome::Complete {
                    used_tokens,
                    record: None,
                };
            }
            let Ok(head) = serde_json::from_str::<AnswerHead>(&event.data) else {
                return AttemptOutcome::Broken { delivered_tokens };
            };
            if *head.id != *self.body.request_id.as_str() {
                self.log_crossed_answer();
                return AttemptOutcome::Broken { delivered_tokens };
            }
            if let Some(usage) = &head.usage {
                used_tokens = Some(usage.total_tokens);
            }
            let tokens = head.tokens();
            let chunk = AnswerMessage::Chunk(Bytes::from(event.data));
            if self.messages.send(chunk).await.is_err() {
                return AttemptOutcome::Broken { delivered_tokens };
            }
            delivered_tokens += tokens;
            self.report_progress(tokens);
        }
    }

    fn report_progress(&self, tokens: u64) {
        if tokens > 0 {
            self.notify(RequestEvent::Progressed {
                ticket: self.order.ticket,
                tokens,
            });
        }
    }
}
