//! Attempts to run a request at an endpoint.

use super::EndpointClient;
use crate::node::{AnswerMessage, CallBody, CallKind, NodeHandle};
use crate::telemetry::{SpanRecorder, end_span};
use bytes::Bytes;
use clementinepond_decide::claim::RecordedAnswer;
use clementinepond_decide::node::NodeEvent;
use clementinepond_decide::request::{AttemptOutcome, DispatchOrder, RequestEvent};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Request, Response, StatusCode};
use opentelemetry::KeyValue;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Header with the request identifier; the endpoint returns it with the answer.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the priority class of the request.
pub(super) const PRIORITY_HEADER: &str = "x-priority";
/// Response header with which an endpoint states that it did not run the request.
const NOT_RUN_HEADER: &str = "x-not-run";

/// Attempt to run a request at one endpoint.
pub(super) struct Attempt {
    pub(super) client: EndpointClient,
    pub(super) order: DispatchOrder,
    pub(super) body: Arc<CallBody>,
    pub(super) messages: mpsc::Sender<AnswerMessage>,
    pub(super) cancellation: CancellationToken,
    pub(super) node: NodeHandle,
    pub(super) spans: SpanRecorder,
}

impl Attempt {
    /// Runs the attempt and reports its outcome, or that the caller disconnected.
    pub(super) async fn run(self) {
        let cancellation = self.cancellation.clone();
        let caller = self.messages.clone();
        let mut span = self.spans.start("attempt", self.attributes());
        tokio::select! {
            outcome = self.perform() => {
                end_span(&mut span, outcome_name(&outcome));
                self.report_end(outcome);
            }
            () = cancellation.cancelled() => end_span(&mut span, "cancelled"),
            () = caller.closed() => {
                end_span(&mut span, "caller_left");
                self.report_caller_left();
            }
        }
    }

    fn attributes(&self) -> Vec<KeyValue> {
        vec![
            KeyValue::new("endpoint", self.order.endpoint.to_string()),
            KeyValue::new("attempt", i64::from(self.order.attempt.get())),
            KeyValue::new("resume_from", self.order.resume_from.to_string()),
        ]
    }

    async fn perform(&self) -> AttemptOutcome {
        // The order may have expired if the process was paused.
        if self.client.clock.now() >= self.order.deadline {
            log::warn!(
                "event=dispatch_dropped ticket={} reason=lapsed",
                self.order.ticket
            );
            return AttemptOutcome::NotSent;
        }
        let Some(address) = self.client.address(&self.order.endpoint) else {
            return AttemptOutcome::NotSent;
        };
        match &self.body.kind {
            CallKind::Inference { .. } => self.perform_inference(address).await,
            CallKind::Service { .. } => self.perform_service(address).await,
        }
    }

    fn report_end(&self, outcome: AttemptOutcome) {
        log::info!(
            "event=attempt_ended request={} attempt={} endpoint={} outcome={}",
            self.body.request_id,
            self.order.attempt,
            self.order.endpoint,
            outcome_name(&outcome),
        );
        self.notify(RequestEvent::AttemptEnded {
            ticket: self.order.ticket,
            attempt: self.order.attempt,
            outcome,
        });
    }

    fn report_caller_left(&self) {
        self.notify(RequestEvent::CallerLeft {
            ticket: self.order.ticket,
        });
    }

    pub(super) fn notify(&self, event: RequestEvent) {
        self.node.send_event(NodeEvent::Request(event));
    }

    /// Sends the request and returns the response, whose body has not been read.
    pub(super) async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, AttemptOutcome> {
        let client = if self.body.is_repeatable {
            &self.client.pooled_client
        } else {
            &self.client.unpooled_client
        };
        let timeout = self.client.settings.answer_timeout;
        crate::http::send(client, request, timeout)
            .await
            .map_err(|failure| match failure {
                crate::http::HttpFailure::NotSent => AttemptOutcome::NotSent,
                _ => BROKEN,
            })
    }

    /// Returns whether the answer carries the identifier of this request; logs it if not.
    pub(super) fn is_own(&self, headers: &HeaderMap) -> bool {
        let is_own = headers
            .get(REQUEST_ID_HEADER)
            .is_some_and(|id| id.as_bytes() == self.body.request_id.as_str().as_bytes());
        if !is_own {
            self.log_crossed_answer();
        }
        is_own
    }

    pub(super) fn log_crossed_answer(&self) {
        log::warn!(
            "event=answer_crossed request={} endpoint={}",
            self.body.request_id,
            self.order.endpoint
        );
    }

    /// Returns the answer to record for retries of a call that must not run twice; none if the
    /// call may run again.
    pub(super) fn record(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: &Bytes,
    ) -> Option<Box<RecordedAnswer>> {
        if self.body.is_repeatable {
            return None;
        }
        let content_type = content_type(headers);
        Some(Box::new(RecordedAnswer {
            status: status.as_u16(),
            headers: vec![("content-type".into(), content_type.into())],
            body: body.to_vec().into(),
        }))
    }

    pub(super) async fn send_complete_answer(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        body: Bytes,
    ) {
        let message = AnswerMessage::Complete {
            status,
            content_type: content_type(headers).into(),
            body,
        };
        // The receiver is gone if the caller has disconnected, which `run` reports.
        let _ = self.messages.send(message).await;
    }
}

fn content_type(headers: &HeaderMap) -> &str {
    headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
}

/// Outcome of an attempt that may have run but delivered nothing to the caller.
pub(super) const BROKEN: AttemptOutcome = AttemptOutcome::Broken {
    delivered_tokens: 0,
};

/// Returns whether the endpoint states that it did not run the request.
pub(super) fn is_not_run(headers: &HeaderMap) -> bool {
    headers
        .get(NOT_RUN_HEADER)
        .is_some_and(|value| value == "true")
}

/// Returns the URI of a path on an endpoint.
pub(super) fn uri(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

const fn outcome_name(outcome: &AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Complete { .. } => "complete",
        AttemptOutcome::NotSent => "not_sent",
        AttemptOutcome::RefusedNotRun => "refused_not_run",
        AttemptOutcome::Rejected => "rejected",
        AttemptOutcome::Broken { .. } => "broken",
    }
}
