//! Attempt: sending a request to an endpoint on one connection.

use super::{PooledConnection, ReuseRule};
use crate::clock::BootClock;
use crate::http::{ConnectFailure, Connection, open_endpoint_connection};
use crate::node::EntryNode;
use bytes::Bytes;
use clementinepond_dispatch::stream::BodyFraming;
use clementinepond_platform::{
    AnswerHeaders, AttemptHeaders, read_answer, read_keep_alive, write_attempt_headers,
};
use clementinepond_types::{EndpointId, LocalTime, RequestId, TimeSpan};
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderMap, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Maximum time for opening a connection; the kernel resends a lost SYN packet only after
/// seconds.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(350);

/// Caller's request with its complete body.
#[derive(Debug, Clone)]
pub(crate) struct OutgoingRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Reason for which an attempt gave no answer.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptFailure {
    /// Nothing was sent.
    #[display("no connection to the endpoint ({_0}); the request was not sent")]
    NotSent(#[error(not(source))] ConnectFailure),
    /// The connection was lost; the request may have run.
    #[display("connection lost before the answer arrived; the request may have run")]
    Broken,
    /// The answer belongs to another request or lacks the server's signature.
    #[display("answer belongs to another request or is not signed; the request may have run")]
    Foreign,
}

/// Head of an answer and the connection on which its body arrives.
#[derive(Debug)]
pub(crate) struct AttemptAnswer {
    pub(crate) response: Response<Incoming>,
    pub(crate) mark: AnswerHeaders,
    pub(crate) framing: BodyFraming,
    pub(crate) connection: AnswerConnection,
}

impl AttemptAnswer {
    /// Returns whether the endpoint states that the request has not run.
    pub(crate) fn is_refusal(&self) -> bool {
        self.mark.is_not_run || self.response.status() == StatusCode::MISDIRECTED_REQUEST
    }
}

/// Connection of an answer, returned to the pool when the answer is complete.
#[derive(Debug)]
pub(crate) struct AnswerConnection {
    connection: Connection,
    endpoint: EndpointId,
    /// Idle timeout that the endpoint stated, if any.
    stated_timeout: Option<TimeSpan>,
    /// Whether the endpoint stated that it closes the connection.
    closes: bool,
}

impl AnswerConnection {
    /// Returns the connection to the pool after a complete answer.
    pub(crate) fn finish(self, node: &EntryNode) {
        if self.closes || self.connection.sender.is_closed() {
            return;
        }
        let pooled = PooledConnection::new(self.connection, self.stated_timeout, BootClock::now());
        node.pool.put(&self.endpoint, pooled);
    }
}

/// Request and target of an attempt.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) endpoint: &'a EndpointId,
    pub(crate) address: SocketAddrV4,
    pub(crate) request: &'a OutgoingRequest,
    pub(crate) request_id: Option<&'a RequestId>,
    pub(crate) headers: AttemptHeaders<'a>,
    pub(crate) deadline: LocalTime,
    pub(crate) reuse: ReuseRule,
}

/// Sends the request and waits for the head of the answer.
///
/// Dropping the future closes the connection, which makes the endpoint stop the request.
pub(crate) async fn start_attempt(
    node: &Rc<EntryNode>,
    attempt: Attempt<'_>,
) -> Result<AttemptAnswer, AttemptFailure> {
    let mut kept = node
        .pool
        .take(attempt.endpoint, attempt.reuse)
        .map(|pooled| pooled.connection);
    loop {
        let was_kept = kept.is_some();
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => open_endpoint_connection(attempt.address, CONNECT_TIMEOUT)
                .await
                .map_err(AttemptFailure::NotSent)?,
        };
        if connection.sender.ready().await.is_err() {
            if was_kept {
                continue;
            }
            return Err(AttemptFailure::NotSent(ConnectFailure::Failed));
        }
        let request = outgoing(&attempt);
        let sent_at = BootClock::now();
        match connection.sender.try_send_request(request).await {
            Ok(response) => return accept(node, attempt, connection, response, sent_at),
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                if is_unsent && was_kept {
                    continue;
                }
                if is_unsent {
                    return Err(AttemptFailure::NotSent(ConnectFailure::Failed));
                }
                return Err(AttemptFailure::Broken);
            }
        }
    }
}

/// Returns the request as it is sent to the endpoint.
fn outgoing(attempt: &Attempt<'_>) -> Request<Full<Bytes>> {
    let mut headers = attempt.request.headers.clone();
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
    let time_left = BootClock::now().until(attempt.deadline);
    let marks = AttemptHeaders {
        time_left,
        ..attempt.headers.clone()
    };
    write_attempt_headers(&mut headers, &marks);
    let mut request = Request::new(Full::new(attempt.request.body.clone()));
    *request.method_mut() = attempt.request.method.clone();
    *request.uri_mut() = attempt.request.uri.clone();
    *request.headers_mut() = headers;
    request
}

/// Checks that the answer belongs to the request and, if it is a success, is signed.
fn accept(
    node: &EntryNode,
    attempt: Attempt<'_>,
    connection: Connection,
    response: Response<Incoming>,
    sent_at: LocalTime,
) -> Result<AttemptAnswer, AttemptFailure> {
    let mark = read_answer(response.headers());
    let is_from_endpoint = mark.instance.as_deref() == Some(attempt.endpoint.as_str())
        || (mark.instance.is_none() && response.status() != StatusCode::MISDIRECTED_REQUEST);
    if is_from_endpoint {
        node.record_limit(attempt.endpoint, mark.limit, sent_at);
    }
    let is_foreign = mark.request.is_some() && mark.request.as_ref() != attempt.request_id;
    let is_unsigned_success = response.status().is_success() && !mark.is_signed;
    if is_foreign || is_unsigned_success {
        log::warn!(
            "event=answer_foreign endpoint={} request={} answer={} signed={}",
            attempt.endpoint,
            attempt.request_id.map_or("-", |id| id.as_str()),
            mark.request.as_ref().map_or("-", |id| id.as_str()),
            mark.is_signed
        );
        return Err(AttemptFailure::Foreign);
    }
    let (stated_timeout, closes) = read_keep_alive(response.headers());
    let connection = AnswerConnection {
        connection,
        endpoint: attempt.endpoint.clone(),
        stated_timeout,
        closes,
    };
    Ok(AttemptAnswer {
        framing: body_framing(&response),
        response,
        mark,
        connection,
    })
}

/// Returns the framing of an answer of which the head has arrived.
fn body_framing(response: &Response<Incoming>) -> BodyFraming {
    let codings = response.headers().get_all(TRANSFER_ENCODING);
    let is_chunked = codings
        .iter()
        .next_back()
        .and_then(|value| value.to_str().ok())
        .is_some_and(|codings| codings.trim().to_ascii_lowercase().ends_with("chunked"));
    if is_chunked {
        BodyFraming::Chunks
    } else if response.body().size_hint().exact().is_some() {
        BodyFraming::Length
    } else {
        BodyFraming::Connection
    }
}
