//! Small deployment of a store, endpoints and entry VMs.

use clementinepond_platform_standin::{
    CallOutcome, CallRequest, EndpointOptions, RawEndpoint, RawRequest, RawStep, RunChecker,
    SAMPLE_PROMPT, StandinEndpoint, StandinStore, sample_configuration, send_call, stream_event,
};
pub(crate) use clementinepond_platform_standin::{SAMPLE_HOST as HOST, SAMPLE_KEY as KEY};
use hyper::Method;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Time after which a state that was not reached fails the test.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);

static ATTEMPTS: AtomicU32 = AtomicU32::new(0);
static FILES: AtomicU32 = AtomicU32::new(0);

/// Process of an entry VM.
pub(crate) struct EntryProcess {
    child: Child,
    pub(crate) callers: SocketAddrV4,
    pub(crate) readiness: SocketAddrV4,
    pub(crate) peers: SocketAddrV4,
    metrics: SocketAddrV4,
    lines: Arc<Mutex<Vec<String>>>,
    settings: PathBuf,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl EntryProcess {
    pub(crate) fn start(name: &str, store: SocketAddrV4) -> Self {
        Self::start_in(name, "dc-a", store)
    }

    /// Starts a VM of a data centre.
    pub(crate) fn start_in(name: &str, data_centre: &str, store: SocketAddrV4) -> Self {
        let number = FILES.fetch_add(1, Ordering::Relaxed);
        let file = format!("entry-{}-{number}.jsonc", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let free = "127.0.0.1:0";
        let text = json!({
            "vm": name,
            "data_centre": data_centre,
            "listen": { "callers": free, "readiness": free, "peers": free, "metrics": free },
            "store": { "address": store.to_string() },
            "retry": { "ratio": 0.2, "allowance": 50.0, "window_s": 10.0 },
            "orders": { "holder_gap_ms": 3000.0 },
            "shutdown": { "grace_s": 6.0 },
            "peers": { "interval_ms": null },
            "capacity": { "link_mbps": 10.0 },
        });
        std::fs::write(&settings, format!("// A test.\n{text}")).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_clementinepond"))
            .arg("entry")
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        let mut first = String::new();
        output.read_line(&mut first).unwrap();
        let lines = Arc::new(Mutex::new(vec![first.clone()]));
        let shared = Arc::clone(&lines);
        std::thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                shared.lock().unwrap().push(line);
            }
        });
        Self {
            child,
            callers: address(&first, "callers="),
            readiness: address(&first, "readiness="),
            peers: address(&first, "peers="),
            metrics: address(&first, "metrics="),
            lines,
            settings,
        }
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn terminate(&self) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").arg("-TERM").arg(id).status().unwrap();
        assert!(status.success());
    }

    pub(crate) fn has_logged(&self, text: &str) -> bool {
        self.lines
            .lock()
            .unwrap()
            .iter()
            .any(|line| line.contains(text))
    }

    /// Returns the last logged line that contains both texts.
    pub(crate) fn last_logged(&self, first: &str, second: &str) -> Option<String> {
        let lines = self.lines.lock().unwrap();
        lines
            .iter()
            .rfind(|line| line.contains(first) && line.contains(second))
            .cloned()
    }

    /// Returns the value of a metric.
    pub(crate) async fn metric(&self, name: &str) -> u64 {
        let (_, text) = expect_answer(send_call(self.metrics, call_to("/metrics", None)).await);
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        line.unwrap_or_else(|| panic!("no metric {name}"))
            .trim()
            .parse()
            .unwrap()
    }

    pub(crate) async fn ended(&mut self) {
        wait_until("the VM exits", || self.child.try_wait().unwrap().is_some()).await;
    }

    /// Waits until the VM reports that it is ready.
    pub(crate) async fn ready(&self) {
        for _ in 0..300 {
            if is_ready(self.readiness).await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the VM did not become ready within 300 checks");
    }
}

fn address(line: &str, key: &str) -> SocketAddrV4 {
    let word = line
        .split_whitespace()
        .find_map(|word| word.strip_prefix(key));
    word.unwrap_or_else(|| panic!("no {key} in {line}"))
        .parse()
        .unwrap()
}

pub(crate) async fn is_ready(readiness: SocketAddrV4) -> bool {
    let call = CallRequest {
        path: "/readyz".into(),
        ..call_to("/readyz", None)
    };
    matches!(send_call(readiness, call).await, CallOutcome::Answer { status, .. } if status == 200)
}

/// Store, endpoints, and the checker that records their runs.
pub(crate) struct Deployment {
    pub(crate) store: StandinStore,
    pub(crate) checker: RunChecker,
    pub(crate) engines: Vec<StandinEndpoint>,
    pub(crate) services: Vec<StandinEndpoint>,
}

impl Deployment {
    pub(crate) async fn start(engines: usize) -> Self {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let store = StandinStore::start(any).await.unwrap();
        let checker = RunChecker::default();
        store.put("config", "main", configuration(3));
        let mut deployment = Self {
            store,
            checker,
            engines: Vec::new(),
            services: Vec::new(),
        };
        for index in 0..engines {
            let endpoint = deployment.endpoint("engines", index, &["m0"]).await;
            deployment.engines.push(endpoint);
        }
        for index in 0..2 {
            let endpoint = deployment.endpoint("files", index, &[]).await;
            deployment.services.push(endpoint);
        }
        deployment
    }

    async fn endpoint(&self, service: &str, index: usize, models: &[&str]) -> StandinEndpoint {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let options = endpoint_options(service, &format!("{service}-{index}"), models);
        StandinEndpoint::start(any, options, &self.store, &self.checker)
            .await
            .unwrap()
    }

    /// Starts an endpoint that answers with the steps of a script.
    pub(crate) async fn raw_endpoint(
        &self,
        options: EndpointOptions,
        script: impl Fn(&RawRequest) -> Vec<RawStep> + Send + Sync + 'static,
    ) -> RawEndpoint {
        RawEndpoint::start(options, &self.store, &self.checker, Arc::new(script))
            .await
            .unwrap()
    }

    pub(crate) fn entry(&self, name: &str) -> EntryProcess {
        EntryProcess::start(name, self.store.address())
    }
}

/// Returns the options of an endpoint.
pub(crate) fn endpoint_options(service: &str, id: &str, models: &[&str]) -> EndpointOptions {
    EndpointOptions {
        id: id.into(),
        service: service.into(),
        data_centre: "dc-a".into(),
        software: "v1".into(),
        models: models.iter().map(|&name| name.to_owned()).collect(),
        model_slots: 2,
        slots: 64,
        events: 8,
        event_delay: Duration::from_millis(20),
        at_most_once_prefix: "/chat/".into(),
        downtime: Duration::from_secs(1),
    }
}

/// Returns a configuration with the given version.
pub(crate) fn configuration(version: u64) -> Value {
    sample_configuration(version, 5_000)
}

/// Returns a call with a unique attempt ID.
pub(crate) fn call_to(path: &str, model: Option<&str>) -> CallRequest {
    let number = ATTEMPTS.fetch_add(1, Ordering::Relaxed);
    CallRequest {
        method: Method::POST,
        host: HOST.into(),
        path: path.into(),
        attempt: format!("attempt-{number}"),
        key: Some(KEY.into()),
        model: model.map(str::to_owned),
        prompt: SAMPLE_PROMPT.into(),
        timeout: Duration::from_secs(4),
        body: b"{}".to_vec(),
        resumption: None,
    }
}

/// Returns the status and body of a complete answer; panics on any other outcome.
pub(crate) fn expect_answer(outcome: CallOutcome) -> (u16, String) {
    match outcome {
        CallOutcome::Answer { status, body, .. } => (status.as_u16(), body),
        other => panic!("expected a complete answer, got {other:?}"),
    }
}

/// Returns the body of a complete stream.
pub(crate) fn complete_stream() -> String {
    stream_events(1..=8)
}

/// Returns the events of a stream with the given IDs.
pub(crate) fn stream_events(ids: RangeInclusive<u32>) -> String {
    ids.map(|id| stream_event(id, "v1")).collect()
}

/// Waits until `holds` returns true; panics after [`STATE_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = tokio::time::Instant::now() + STATE_TIMEOUT;
    while !holds() {
        assert!(
            tokio::time::Instant::now() < until,
            "not reached within {STATE_TIMEOUT:?}: {what}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
