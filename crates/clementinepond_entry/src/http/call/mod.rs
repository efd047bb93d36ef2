//! Small HTTP calls with a timeout, on a connection that is kept alive.

use super::{Connection, open_connection};
use crate::clock::BootClock;
use bytes::{Bytes, BytesMut};
use clementinepond_types::TimeSpan;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode};
use std::net::SocketAddrV4;

#[cfg(test)]
mod tests;

/// Maximum size of an answer; a page of a list is about a megabyte.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// Maximum pause within the body of an answer. The whole time is not limited, since a large
/// body takes long over a narrow link.
const MAX_BODY_PAUSE: TimeSpan = TimeSpan::from_millis(700);
/// Time after which a body must have arrived at the minimum rate, or it counts as one that
/// trickles without end.
const BODY_RATE_GRACE: TimeSpan = TimeSpan::from_secs(5);
/// Minimum rate of a body; a tenth of what the narrowest links leave for it.
const MIN_BODY_BYTES_PER_S: u64 = 32 * 1024;
/// Maximum time for opening a connection.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// Reason for which a call failed.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallFailure {
    /// Nothing was sent.
    #[display("no connection could be opened; the call was not sent")]
    NotSent,
    /// The connection was lost, or the answer exceeds [`ANSWER_LIMIT_BYTES`].
    #[display("connection lost before the answer was complete; the call may have been executed")]
    Broken,
    /// The answer, or the next part of it, did not arrive within the timeout.
    #[display("no complete answer within the timeout; the call may have been executed")]
    Timeout,
}

/// Status, headers and body of an answer to a call.
#[derive(Debug, Clone)]
pub(crate) struct CallReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// HTTP client for one address that keeps its connection and makes one call at a time.
#[derive(Debug)]
pub(crate) struct HttpClient {
    address: SocketAddrV4,
    connection: Option<Connection>,
}

impl HttpClient {
    pub(crate) const fn new(address: SocketAddrV4) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Closes the connection; the next call opens another one.
    pub(crate) fn reset(&mut self) {
        self.connection = None;
    }

    /// Sends a request with a JSON body and reads the answer.
    ///
    /// `timeout` applies separately to each step: checking a kept connection, opening a new
    /// one, the head of the answer, and each pause within its body.
    pub(crate) async fn call(
        &mut self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Vec<u8>,
        timeout: TimeSpan,
    ) -> Result<CallReply, CallFailure> {
        let kept = match self.connection.take() {
            Some(mut connection) => {
                let ready = tokio::time::timeout(timeout.duration(), connection.sender.ready());
                matches!(ready.await, Ok(Ok(()))).then_some(connection)
            }
            None => None,
        };
        let mut connection = match kept {
            Some(connection) => connection,
            None => open_connection(self.address, timeout.min(CONNECT_TIMEOUT))
                .await
                .map_err(|_| CallFailure::NotSent)?,
        };
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(|_| CallFailure::NotSent)?;
        *request.headers_mut() = headers;
        let host = HeaderValue::from_str(&self.address.to_string());
        request
            .headers_mut()
            .insert(HOST, host.map_err(|_| CallFailure::NotSent)?);
        request
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let sent = connection.sender.send_request(request);
        let response = tokio::time::timeout(timeout.duration(), sent)
            .await
            .map_err(|_| CallFailure::Timeout)?
            .map_err(|error| {
                if error.is_canceled() {
                    CallFailure::NotSent
                } else {
                    CallFailure::Broken
                }
            })?;
        let (parts, body) = response.into_parts();
        let body = read_body(body, timeout.min(MAX_BODY_PAUSE)).await?;
        // The connection is kept only after a complete answer, so that a late answer is
        // never read as that of another call.
        self.connection = Some(connection);
        Ok(CallReply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// Reads a body whose parts arrive with pauses of at most `pause`, and at the minimum rate
/// after a grace period.
async fn read_body(body: Incoming, pause: TimeSpan) -> Result<Bytes, CallFailure> {
    let mut body = Limited::new(body, ANSWER_LIMIT_BYTES);
    let mut bytes = BytesMut::new();
    let started_at = BootClock::now();
    loop {
        let earned_ms = bytes.len() as u64 * 1_000 / MIN_BODY_BYTES_PER_S;
        let slowest = started_at + BODY_RATE_GRACE + TimeSpan::from_millis(earned_ms);
        let left = BootClock::now().until(slowest).min(pause);
        let frame = tokio::time::timeout(left.duration(), body.frame())
            .await
            .map_err(|_| CallFailure::Timeout)?;
        match frame {
            None => return Ok(bytes.freeze()),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Some(Err(_)) => return Err(CallFailure::Broken),
        }
    }
}
