//! HTTP calls with a timeout, whose errors distinguish a request that was not sent
//! from one that may have arrived.

use bytes::Bytes;
use clementinepond_types::TimeSpan;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Size limit of a response body that is read as JSON, in bytes.
const ANSWER_LIMIT_BYTES: usize = 32 * 1024 * 1024;
/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Reason why a call failed.
#[derive(Debug, Display, Error, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HttpFailure {
    /// No connection could be opened, so nothing was sent.
    #[display("no connection could be opened; check the address and that the server is running")]
    NotSent,
    /// The connection failed after bytes may have been sent.
    #[display("connection failed before the response was complete; the request may have arrived")]
    Broken,
    /// No response arrived within the timeout.
    #[display("no response within the timeout; the request may have arrived")]
    Timeout,
    /// A request or response body does not match the protocol.
    #[display("request or response does not match the protocol; check the version of the server")]
    Malformed,
}

pub(crate) fn new_client(connect_timeout: TimeSpan) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout.duration()));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector)
}

/// Creates a client that opens a new connection for each call.
pub(crate) fn new_unpooled_client(connect_timeout: TimeSpan) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout.duration()));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .build(connector)
}

/// Sends a request and returns the response, whose body has not been read.
pub(crate) async fn send(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    timeout: TimeSpan,
) -> Result<Response<Incoming>, HttpFailure> {
    let call = client.request(request);
    match tokio::time::timeout(timeout.duration(), call).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if error.is_connect() => Err(HttpFailure::NotSent),
        Ok(Err(_)) => Err(HttpFailure::Broken),
        Err(_) => Err(HttpFailure::Timeout),
    }
}

/// Reads a complete response body as JSON.
pub(crate) async fn read_json<T: DeserializeOwned>(
    response: Response<Incoming>,
    timeout: TimeSpan,
) -> Result<T, HttpFailure> {
    let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES).collect();
    let bytes = tokio::time::timeout(timeout.duration(), body)
        .await
        .map_err(|_| HttpFailure::Timeout)?
        .map_err(|_| HttpFailure::Broken)?
        .to_bytes();
    serde_json::from_slice(&bytes).map_err(|_| HttpFailure::Malformed)
}
