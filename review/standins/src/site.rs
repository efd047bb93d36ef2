//! Small deployment with the figures of mizuhara-rebate: configuration, machines and clients.

use crate::machine::Machine;
use crate::record::Record;
use clementinepond_platform_standin::{CallOutcome, CallRequest, send_call};
use hyper::Method;
use serde_json::{Value, json};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const ENGINES: &str = "huvo11a";
pub const APP: &str = "wuno96b";
pub const MODEL: &str = "daka510000";

/// Bound `lease_ms`.
pub const LEASE_MS: u64 = 3_000;
pub fn configuration(version: u64) -> Value {
    let route =
        |name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u32, attempts: u32| {
            json!({
                "name": name,
                "hostname": HOST,
                "path_prefix": prefix,
                "route_type": kind,
                "timeout_ms": timeout_ms,
                "target_latency_ms": 600,
                "priority": 1,
                "service": service,
                "max_attempts": attempts,
                "anonymous": false,
                "sticky": kind == "streaming",
                "resumable": false,
            })
        };
    json!({
        "version": version,
        "routes": [
            route("claim-review", "/lohu930/", "streaming", ENGINES, 6_000, 1),
            route("claim-submit", "/puxa403/", "non_idempotent", APP, 2_000, 1),
            route("status-read", "/cufi504/", "idempotent", APP, 2_000, 2),
        ],
        "services": [
            {
                "name": ENGINES,
                "health_path": "/healthz",
                "max_connections": 360,
                "engine": {
                    "slots": 64,
                    "kv_capacity": 272_282,
                    "weights_mb": 200_000.0,
                    "adapter_slots": 256,
                    "loads_per_s": 1.1,
                    "models": [{
                        "name": MODEL,
                        "weights_mb": 72_700.0,
                        "load_time_s": 4.2,
                        "adapters": 1_000,
                        "adapter_mb": 66.0,
                        "warmup_s": 0.63,
                        "disk_load_s": 0.84,
                    }],
                },
            },
            { "name": APP, "health_path": "/healthz", "max_connections": 96 },
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{
            "name": "hule930",
            "api_keys": [KEY],
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": 100_000,
            "burst": 100_000,
        }],
    })
}

pub fn call(attempt: &str, path: &str, model: Option<String>) -> CallRequest {
    CallRequest {
        method: Method::POST,
        host: HOST.into(),
        path: path.into(),
        attempt: attempt.into(),
        key: Some(KEY.into()),
        model,
        prompt: "5c1e07a2:60,91bd3f06:40".into(),
        timeout: Duration::from_secs(4),
        body: b"{}".to_vec(),
        resumption: None,
    }
}

/// Describes the outcome of a call in a word.
pub fn outcome_name(outcome: &CallOutcome) -> String {
    match outcome {
        CallOutcome::Answer { status, .. } => status.as_u16().to_string(),
        CallOutcome::Broken { .. } => "broken".to_owned(),
        CallOutcome::Unreachable => "refused".to_owned(),
        CallOutcome::Closed => "closed".to_owned(),
        CallOutcome::TimedOut => "timed_out".to_owned(),
    }
}

/// Clients that ask for one adapter after the other, at the machines in turn.
pub struct AdapterClients {
    is_stopped: Arc<AtomicBool>,
    pub next: Arc<AtomicU32>,
}

impl AdapterClients {
    pub fn start(
        frontends: &Arc<Mutex<Vec<SocketAddrV4>>>,
        record: &Record,
        gap: Duration,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU32::new(1));
        let (stopped, number, record) =
            (Arc::clone(&is_stopped), Arc::clone(&next), record.clone());
        let frontends = Arc::clone(frontends);
        tokio::spawn(async move {
            while !stopped.load(Ordering::Relaxed) {
                tokio::time::sleep(gap).await;
                let adapter = number.fetch_add(1, Ordering::Relaxed);
                let address = {
                    let all = frontends.lock().unwrap();
                    all[adapter as usize % all.len()]
                };
                let record = record.clone();
                tokio::spawn(async move {
                    let attempt = format!("a{adapter:05}");
                    let model = format!("{MODEL}/a{adapter}");
                    let request = call(&attempt, "/lohu930/2f", Some(model));
                    let outcome = send_call(address, request).await;
                    record.note(&format!(
                        "client attempt={attempt} machine={address} answer={}",
                        outcome_name(&outcome)
                    ));
                });
            }
        });
        Self { is_stopped, next }
    }
}

impl Drop for AdapterClients {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Waits until all machines say that they are ready.
pub async fn all_ready(machines: &[Machine]) -> bool {
    for machine in machines {
        let mut tries = 0;
        while !machine.is_ready().await {
            tries += 1;
            if tries > 200 {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    true
}

/// Waits until `holds` gives a value, for `seconds` at most.
pub async fn wait_for<T>(seconds: u64, mut holds: impl FnMut() -> Option<T>) -> Option<T> {
    let until = tokio::time::Instant::now() + Duration::from_secs(seconds);
    loop {
        if let Some(value) = holds() {
            return Some(value);
        }
        if tokio::time::Instant::now() >= until {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
