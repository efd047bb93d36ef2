//! One HTTP call, taken apart.

use bytes::Bytes;
use salvo::http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use salvo::{Request, Response};
use serde::Serialize;

/// Largest request body that is read, in bytes.
const BODY_LIMIT: usize = 8 * 1024 * 1024;

/// One HTTP call with its body read.
#[derive(Debug, Clone)]
pub(crate) struct HttpCall {
    /// Method.
    pub(crate) method: Method,
    /// Segments of the path, percent-decoded.
    pub(crate) segments: Vec<String>,
    /// Path as it came.
    pub(crate) path: Box<str>,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl HttpCall {
    /// Returns a header as text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the path segments for matching.
    pub(crate) fn path_segments(&self) -> Vec<&str> {
        self.segments.iter().map(String::as_str).collect()
    }
}

/// Reads a call whole; `None` when the body breaks off or is too large.
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

/// Returns a query parameter as a number.
pub(crate) fn query_number(request: &Request, name: &str) -> Option<u64> {
    request.query::<u64>(name)
}

/// Writes a JSON answer.
pub(crate) fn answer_json(response: &mut Response, status: StatusCode, value: &impl Serialize) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    response.status_code(status);
    set_header(response, header::CONTENT_TYPE.as_str(), "application/json");
    response.body(body);
}

/// Sets a header; a value that no header can carry is left out.
pub(crate) fn set_header(response: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// Breaks the connection of a call without an answer.
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
