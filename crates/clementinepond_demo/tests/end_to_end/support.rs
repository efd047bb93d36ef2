//! Deployments and calls that the end-to-end tests share.

use bytes::Bytes;
use clementinepond_daemon::key_digest;
use clementinepond_demo::FleetPlan;
use clementinepond_settings::fleet::FleetConfiguration;
use clementinepond_standin::engine::{EngineOptions, StartModel};
use clementinepond_types::MemorySize;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Key of the account `coop`.
pub(crate) const KEY: &str = "cp-marker-key-that-must-not-leave-the-vm";
/// Model that every engine holds.
pub(crate) const MODEL: &str = "ledger";

/// An engine that holds the model.
pub(crate) fn engine(name: &str) -> EngineOptions {
    EngineOptions {
        endpoint: name.parse().unwrap(),
        models: vec![StartModel {
            model: MODEL.parse().unwrap(),
            version: "1".into(),
            memory_mib: MemorySize::new(1024),
        }],
        ..EngineOptions::default()
    }
}

/// Two data centres with one VM and one engine each.
pub(crate) fn plan() -> FleetPlan {
    let configuration = FleetConfiguration::read(json!({
        "accounts": {"coop": {"rate": "100000tok/s", "burst": "1000000tok"}},
        "keys": {key_digest(KEY).to_string(): {"account": "coop"}},
        "models": {MODEL: {"version": "1", "memory_mib": 1024}},
    }))
    .unwrap();
    FleetPlan {
        vms: [("dc-a".parse().unwrap(), 1), ("dc-b".parse().unwrap(), 1)].into(),
        engines: vec![
            ("dc-a".parse().unwrap(), engine("engine-a")),
            ("dc-b".parse().unwrap(), engine("engine-b")),
        ],
        configuration,
        ..FleetPlan::default()
    }
}

/// An answer read whole.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub(crate) fn outcome(&self) -> &str {
        self.headers
            .get("clementinepond-outcome")
            .map_or("", |value| value.to_str().unwrap())
    }

    /// Text of a streamed completion, whole or not.
    pub(crate) fn streamed_text(&self) -> String {
        let body = self.text();
        body.lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|chunk| chunk["choices"][0]["text"].as_str().map(str::to_owned))
            .collect()
    }
}

/// Sends a request with headers and reads the whole answer.
pub(crate) async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
) -> Answer {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body))).unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.unwrap();
    let (parts, body) = response.into_parts();
    Answer {
        status: parts.status,
        headers: parts.headers,
        body: body.collect().await.unwrap().to_bytes(),
    }
}

/// Asks for a completion as the account `coop`.
pub(crate) async fn complete(address: SocketAddr, prompt: &str, stream: bool) -> Answer {
    let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 16, "stream": stream});
    let authorization = format!("Bearer {KEY}");
    let headers = [("authorization", authorization.as_str())];
    let body = body.to_string().into_bytes();
    call(address, Method::POST, "/v1/completions", &headers, body).await
}
