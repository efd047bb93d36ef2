//! HTTP calls and answers.

use bytes::Bytes;
use salvo::http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use salvo::{Request, Response};
use serde::Serialize;

/// Maximum size of a request body, in bytes; a call with a larger one is
/// aborted.
const BODY_LIMIT: usize = 8 * 1024 * 1024;

/// HTTP call whose body has been read.
#[derive(Debug, Clone)]
pub(crate) struct HttpCall {
    pub(crate) method: Method,
    /// Percent-decoded path segments, without empty ones.
    pub(crate) segments: Vec<String>,
    /// Path as received, not decoded.
    pub(crate) path: Box<str>,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl HttpCall {
    /// Returns the value of a header; `None` if it is absent or not visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the path segments as a list that slice patterns can match.
    pub(crate) fn path_segments(&self) -> Vec<&str> {
        self.segments.iter().map(String::as_str).collect()
    }
}

/// Reads a call and its body; `None` if the body is incomplete or too large.
pub(crate) async fn read_call(request: &mut Request) -> Option<HttpCall> {
    let body = request.payload_with_max_size(BODY_LIMIT).await;
    let body = body.ok()?.clone();
    let path = request.uri().path();
    Some(HttpCall {
        method: request.method().clone(),
        segments: split_path(path),
        path: path.into(),
        headers: request.headers().clone(),
        body,
    })
}

/// Returns a query parameter as a number; `None` if it is absent or not a number.
pub(crate) fn query_number(request: &Request, name: &str) -> Option<u64> {
    request.query::<u64>(name)
}

/// Sets the status and a JSON body; the body is empty if serialization fails.
pub(crate) fn answer_json(response: &mut Response, status: StatusCode, value: &impl Serialize) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    response.status_code(status);
    set_header(response, header::CONTENT_TYPE.as_str(), "application/json");
    response.body(body);
}

/// Sets a header, unless the value contains characters invalid in a header.
pub(crate) fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// Aborts the connection of a call without an answer.
pub(crate) fn abort_connection(request: &Request) {
    if let Some(control) = request.extensions().get::<salvo::conn::ConnCtrl>() {
        control.abort();
    }
}

fn split_path(path: &str) -> Vec<String> {
    path.split('/')
        .filter(|segment| !segment.is_empty())
        .map(decode_percent)
        .collect()
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escaped = (first == b'%').then(|| hex_byte(tail)).flatten();
        bytes.push(escaped.unwrap_or(first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits.get(..2)?).ok()?;
    u8::from_str_radix(text, 16).ok()
}
