//! Small calls with a time timeout, on a connection that is kept.

use super::{Connection, open_connection};
use bytes::Bytes;
use clementinepond_types::TimeSpan;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode};
use std::net::SocketAddrV4;

/// Largest answer that is read, in bytes; a page of a list is about a megabyte.
const ANSWER_LIMIT_BYTES: usize = 8 * 1024 * 1024;
/// Longest time for opening a connection.
const CONNECT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// How a call failed.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallFailure {
    #[display("no connection; nothing was sent")]
    NotSent,
    #[display("connection lost; the call may have been executed")]
    Broken,
    #[display("no answer in time; the call may have been executed")]
    Timeout,
}

/// Status and body of an answer.
#[derive(Debug, Clone)]
pub(crate) struct CallReply {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// One kept connection to one address, for one call at a time.
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

    /// Drops the connection; the next call opens another.
    pub(crate) fn reset(&mut self) {
        self.connection = None;
    }

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
        let call = async {
            let response = connection
                .sender
                .send_request(request)
                .await
                .map_err(|error| {
                    if error.is_canceled() {
                        CallFailure::NotSent
                    } else {
                        CallFailure::Broken
                    }
                })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES)
                .collect()
                .await
                .map_err(|_| CallFailure::Broken)?
                .to_bytes();
            Ok(CallReply { status, body })
        };
        let reply = tokio::time::timeout(timeout.duration(), call)
            .await
            .map_err(|_| CallFailure::Timeout)??;
        // A connection on which an answer was lost is never used again: it is
        // kept only after a whole answer.
        self.connection = Some(connection);
        Ok(reply)
    }
}
