//! Attempt: sending a request to an endpoint on one connection.

use super::{PoolKey, PooledConnection, ReuseRule};
use crate::clock::BootClock;
use crate::forward::forward;
use crate::http::{ConnectFailure, Connection, open_endpoint_connection};
use crate::node::EntryNode;
use bytes::Bytes;
use clementinepond_dispatch::load::NameHash;
use clementinepond_dispatch::stream::BodyFraming;
use clementinepond_platform::{
    AnswerHeaders, AttemptHeaders, read_answer, read_keep_alive, write_attempt_headers,
    write_time_left,
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
    /// No answer arrived in the time after which another endpoint may be tried.
    #[display("no answer yet; the request may run")]
    Silent,
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
    key: PoolKey,
    /// Idle timeout that the server stated, if any.
    stated_timeout: Option<TimeSpan>,
    /// Whether the server stated that it closes the connection.
    closes: bool,
}

impl AnswerConnection {
    /// Returns whether the connection leads to the endpoint itself.
    pub(crate) const fn is_direct(&self) -> bool {
        matches!(self.key, PoolKey::Endpoint(_))
    }

    /// Returns the connection to the pool after a complete answer.
    pub(crate) fn finish(self, node: &EntryNode) {
        if self.closes || self.connection.sender.is_closed() {
            return;
        }
        let pooled = PooledConnection::new(self.connection, self.stated_timeout, BootClock::now());
        node.pool.put(self.key, pooled);
    }
}

/// What an attempt sends.
#[derive(Debug, Clone)]
pub(crate) enum AttemptContent<'a> {
    /// Caller's request, with the headers of this attempt.
    Caller {
        request: &'a OutgoingRequest,
        headers: AttemptHeaders<'a>,
    },
    /// Request as a peer wrote it; only the time left is written again.
    Forwarded(&'a OutgoingRequest),
}

/// Request and target of an attempt.
#[derive(Debug)]
pub(crate) struct Attempt<'a> {
    pub(crate) endpoint: &'a EndpointId,
    pub(crate) address: SocketAddrV4,
    pub(crate) content: AttemptContent<'a>,
    pub(crate) request_id: Option<&'a RequestId>,
    pub(crate) deadline: LocalTime,
    /// Time from sending until another endpoint is tried; `None` to wait until the deadline.
    pub(crate) silence: Option<TimeSpan>,
    pub(crate) reuse: ReuseRule,
}

impl Attempt<'_> {
    /// Returns the request as it is sent now.
    pub(crate) fn outgoing(&self) -> Request<Full<Bytes>> {
        let time_left = BootClock::now().until(self.deadline);
        let (source, headers) = match &self.content {
            AttemptContent::Caller { request, headers } => {
                let marks = AttemptHeaders {
                    time_left,
                    ..headers.clone()
                };
                let mut headers = request.headers.clone();
                write_attempt_headers(&mut headers, &marks);
                (request, headers)
            }
            AttemptContent::Forwarded(request) => {
                let mut headers = request.headers.clone();
                write_time_left(&mut headers, time_left);
                (request, headers)
            }
        };
        let mut request = Request::new(Full::new(source.body.clone()));
        *request.method_mut() = source.method.clone();
        *request.uri_mut() = source.uri.clone();
        *request.headers_mut() = headers;
        request.headers_mut().remove(EXPECT);
        request.headers_mut().remove(CONTENT_LENGTH);
        request
    }
}

/// Sends the request, directly or through a peer, and waits for the head of the answer.
///
/// Dropping the future closes the connection, which makes the endpoint stop the request.
pub(crate) async fn start_attempt(
    node: &Rc<EntryNode>,
    attempt: Attempt<'_>,
) -> Result<AttemptAnswer, AttemptFailure> {
    let endpoint = NameHash::of(attempt.endpoint.as_str());
    if node.state.borrow().paths.is_forwarded(endpoint) {
        return forward(node, &attempt).await;
    }
    let failure = match send_directly(node, &attempt).await {
        Err(AttemptFailure::NotSent(failure)) => failure,
        sent => return sent,
    };
    if !node.may_forward(endpoint) {
        return Err(AttemptFailure::NotSent(failure));
    }
    // The peer shows whether the endpoint is at fault or this VM's link to it.
    let forwarded = forward(node, &attempt).await;
    match forwarded {
        Ok(_) => node.record_failed_link(attempt.endpoint, failure),
        Err(AttemptFailure::NotSent(ConnectFailure::Confirmed)) => {
            node.record_endpoint_down(attempt.endpoint);
        }
        // No peer took the request.
        Err(AttemptFailure::NotSent(_)) => return Err(AttemptFailure::NotSent(failure)),
        Err(_) => {}
    }
    forwarded
}

/// Sends the request to the endpoint itself and waits for the head of the answer.
pub(crate) async fn send_directly(
    node: &EntryNode,
    attempt: &Attempt<'_>,
) -> Result<AttemptAnswer, AttemptFailure> {
    let key = PoolKey::Endpoint(attempt.endpoint.clone());
    let connect = || open_endpoint_connection(attempt.address, CONNECT_TIMEOUT);
    let served = exchange(node, key, attempt.reuse, attempt.silence, connect, || {
        attempt.outgoing()
    })
    .await?;
    accept(node, attempt, served)
}

/// Head of an answer, of whatever server.
#[derive(Debug)]
pub(crate) struct ServedExchange {
    pub(crate) connection: Connection,
    pub(crate) key: PoolKey,
    pub(crate) response: Response<Incoming>,
    pub(crate) sent_at: LocalTime,
}

/// Sends a request on a kept or a new connection and waits for the head of the answer, for
/// at most `silence` if that is set.
pub(crate) async fn exchange<F>(
    node: &EntryNode,
    key: PoolKey,
    reuse: ReuseRule,
    silence: Option<TimeSpan>,
    connect: impl Fn() -> F,
    request: impl Fn() -> Request<Full<Bytes>>,
) -> Result<ServedExchange, AttemptFailure>
where
    F: Future<Output = Result<Connection, ConnectFailure>>,
{
    let mut kept = node.pool.take(&key, reuse).map(|pooled| pooled.connection);
    loop {
        let was_kept = kept.is_some();
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => connect().await.map_err(AttemptFailure::NotSent)?,
        };
        if connection.sender.ready().await.is_err() {
            if was_kept {
                continue;
            }
            return Err(AttemptFailure::NotSent(ConnectFailure::Failed));
        }
        let sent_at = BootClock::now();
        let sending = connection.sender.try_send_request(request());
        let sent = match silence {
            Some(silence) => tokio::time::timeout(silence.duration(), sending)
                .await
                .map_err(|_| AttemptFailure::Silent)?,
            None => sending.await,
        };
        match sent {
            Ok(response) => {
                return Ok(ServedExchange {
                    connection,
                    key,
                    response,
                    sent_at,
                });
            }
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

/// Checks that the answer belongs to the request and, if it is a success, is signed.
pub(crate) fn accept(
    node: &EntryNode,
    attempt: &Attempt<'_>,
    served: ServedExchange,
) -> Result<AttemptAnswer, AttemptFailure> {
    let response = served.response;
    let mark = read_answer(response.headers());
    let is_from_endpoint = mark.instance.as_deref() == Some(attempt.endpoint.as_str())
        || (mark.instance.is_none() && response.status() != StatusCode::MISDIRECTED_REQUEST);
    if is_from_endpoint {
        node.record_limit(attempt.endpoint, mark.limit, served.sent_at);
        node.record_brittleness(attempt.endpoint, mark.brittle, served.sent_at);
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
        connection: served.connection,
        key: served.key,
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
