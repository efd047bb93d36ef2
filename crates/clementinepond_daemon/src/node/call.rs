//! Caller requests in the I/O layer.

use crate::telemetry::SpanRecorder;
use bytes::Bytes;
use clementinepond_decide::request::RequestEnd;
use clementinepond_types::{PriorityClass, RequestId};
use hyper::{HeaderMap, Method, StatusCode};
use serde_json::{Map, Value};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Protocol-specific content of a request to an endpoint.
#[derive(Debug)]
pub(crate) enum CallKind {
    /// Call of the inference API.
    Inference {
        /// Path on the engine.
        path: &'static str,
        /// JSON body of the caller.
        fields: Map<String, Value>,
        /// Whether the caller requested a streamed answer.
        is_streamed: bool,
    },
    /// Call of a service that is not a model.
    Service {
        /// HTTP method.
        method: Method,
        /// Path and query on the service.
        path: Box<str>,
        /// Headers to forward, without the caller's key.
        headers: HeaderMap,
        /// Body of the caller.
        body: Bytes,
    },
}

/// Request to an endpoint, shared by its attempts.
#[derive(Debug)]
pub(crate) struct CallBody {
    pub(crate) request_id: RequestId,
    pub(crate) priority: PriorityClass,
    pub(crate) is_repeatable: bool,
    pub(crate) kind: CallKind,
}

/// Part of an answer on its way to the caller.
#[derive(Debug)]
pub(crate) enum AnswerMessage {
    /// One chunk of a streamed answer, as JSON.
    Chunk(Bytes),
    /// A complete answer.
    Complete {
        status: StatusCode,
        content_type: Box<str>,
        body: Bytes,
    },
}

/// Request whose caller waits for the answer.
#[derive(Debug)]
pub(crate) struct CallerCall {
    pub(crate) body: Arc<CallBody>,
    pub(crate) messages: mpsc::Sender<AnswerMessage>,
    pub(crate) end: oneshot::Sender<RequestEnd>,
    /// Token that is cancelled when the request ends.
    pub(crate) cancellation: CancellationToken,
    /// Recorder of the spans below the root span of the request.
    pub(crate) spans: SpanRecorder,
}
