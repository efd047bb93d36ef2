//! HTTP client for the tests.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::net::SocketAddr;

/// Answer whose body has been read.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// Returns the JSON values of the `data:` events other than `[DONE]`.
    pub(crate) fn events(&self) -> Vec<Value> {
        let data = self
            .body
            .split("\n\n")
            .filter_map(|event| event.strip_prefix("data: "));
        let json = data.filter(|text| *text != "[DONE]");
        json.map(|text| serde_json::from_str(text).unwrap())
            .collect()
    }
}

/// Client of the server at one address.
#[derive(Debug, Clone)]
pub(crate) struct TestClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl TestClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Self { address, client }
    }

    /// Sends a call; `None` if the connection breaks.
    pub(crate) async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Answer> {
        let uri = format!("http://{}{path}", self.address);
        let mut request = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::from(body.to_owned())).unwrap();
        let response = self.client.request(request).await.ok()?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        Some(Answer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: String::from_utf8(body.to_vec()).unwrap(),
        })
    }

    pub(crate) async fn get(&self, path: &str) -> Answer {
        self.send("GET", path, &[], "").await.unwrap()
    }

    pub(crate) async fn put(&self, path: &str, body: &str) -> Answer {
        self.send("PUT", path, &[], body).await.unwrap()
    }

    pub(crate) async fn post(&self, path: &str, body: &Value) -> Answer {
        let answer = self.send("POST", path, &[], &body.to_string()).await;
        answer.unwrap()
    }
}
