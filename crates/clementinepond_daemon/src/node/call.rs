//! A caller's request as the edges hold it.

use crate::telemetry::SpanRecorder;
use bytes::Bytes;
use clementinepond_decide::request::RequestEnd;
use clementinepond_types::{PriorityClass, RequestId};
use hyper::{HeaderMap, Method, StatusCode};
use serde_json::{Map, Value};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// What is sent to the endpoint.
#[derive(Debug)]
pub(crate) enum CallKind {
    /// A call of the inference API.
    Inference {
        /// Path at the engine.
        path: &'static str,
        /// The caller's body.
        fields: Map<String, Value>,
        /// Whether the answer is streamed.
        is_streamed: bool,
    },
    /// A call of a plain service.
    Service {
        /// Method.
        method: Method,
        /// Path and query at the service.
        path: Box<str>,
        /// Headers without the caller's key.
        headers: HeaderMap,
        /// Body.
        body: Bytes,
    },
}

/// What is sent to the endpoint, with its identifier.
#[derive(Debug)]
pub(crate) struct CallBody {
    pub(crate) request_id: RequestId,
    pub(crate) priority: PriorityClass,
    pub(crate) is_repeatable: bool,
    pub(crate) kind: CallKind,
}

/// What reaches the caller's side of a request.
#[derive(Debug)]
pub(crate) enum AnswerMessage {
    /// One chunk of a streamed answer, as JSON.
    Chunk(Bytes),
    /// A whole answer.
    Complete {
        status: StatusCode,
        content_type: Box<str>,
        body: Bytes,
    },
}

/// A caller that waits for its answer.
#[derive(Debug)]
pub(crate) struct CallerCall {
    pub(crate) body: Arc<CallBody>,
    pub(crate) messages: mpsc::Sender<AnswerMessage>,
    pub(crate) end: oneshot::Sender<RequestEnd>,
    /// Cancelled when the request ends.
    pub(crate) cancellation: CancellationToken,
    /// Where the hops of the request are recorded.
    pub(crate) spans: SpanRecorder,
}
