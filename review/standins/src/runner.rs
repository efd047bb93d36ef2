//! Runner of a service, as PROTOCOL.md describes it: it registers itself in the store, runs
//! requests, loads adapters as ordered, and leaves as announced.

use crate::record::Record;
use crate::server::{Body, answer, json_answer, serve, serve_at};
use crate::store::Store;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

/// `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time of an adapter load.
const ADAPTER_LOAD: Duration = Duration::from_millis(8);
/// Time of a model load from the runner's disk, and from the weight store.
const DISK_LOAD: Duration = Duration::from_millis(840);
const STORE_LOAD: Duration = Duration::from_millis(4_200);
/// Places of a runner.
const SLOTS: usize = 64;

/// Streams of a runner, and what crashes it.
#[derive(Clone, Copy)]
pub struct Streams {
    pub events: u32,
    /// Time before each event.
    pub delay: Duration,
    /// Part of a prompt that crashes the runner at the second event of an answer on it.
    pub crashing: Option<&'static str>,
    /// Time from a crash until the runner is back.
    pub downtime: Duration,
}

impl Default for Streams {
    fn default() -> Self {
        Self {
            events: 5,
            delay: Duration::from_millis(20),
            crashing: None,
            downtime: Duration::from_secs(2),
        }
    }
}

/// Order that reached a runner, accepted or not.
#[derive(Debug, Clone)]
pub struct OrderArrival {
    pub at_ms: u64,
    pub runner: String,
    pub holder: String,
    pub fence: u64,
}

/// Request that reached a runner.
#[derive(Debug, Clone)]
pub struct RunArrival {
    pub at_ms: u64,
    pub runner: String,
    pub attempt: String,
}

/// What reached the runners of a case.
#[derive(Clone, Default)]
pub struct Arrivals {
    pub orders: Arc<Mutex<Vec<OrderArrival>>>,
    pub runs: Arc<Mutex<Vec<RunArrival>>>,
    /// Attempts that are running, by runner.
    pub running: Arc<Mutex<BTreeMap<String, BTreeSet<String>>>>,
    /// Times of the crashes.
    pub crashes: Arc<Mutex<Vec<u64>>>,
}

impl Arrivals {
    fn running_at(&self, runner: &str) -> usize {
        let running = self.running.lock().unwrap();
        running.get(runner).map_or(0, BTreeSet::len)
    }
}

struct State {
    id: String,
    service: String,
    zone: String,
    models: Vec<String>,
    adapters: BTreeSet<(String, String)>,
    pending: BTreeSet<(String, String)>,
    sequence: u64,
    /// Models of which the runner's disk has a copy; it outlasts a restart.
    on_disk: BTreeSet<String>,
    /// Whether an order for a model is in progress.
    is_busy: bool,
    is_draining: bool,
    is_down: bool,
    /// Start of the incarnation, as a Unix millisecond.
    born: u64,
    work: Duration,
    streams: Streams,
}

/// What the handlers of a runner's calls share.
#[derive(Clone)]
struct Shared {
    state: Arc<Mutex<State>>,
    store: Store,
    arrivals: Arrivals,
    crash: Arc<Notify>,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddrV4,
    shared: Shared,
    record: Record,
    server: Arc<Mutex<AbortHandle>>,
    beats: AbortHandle,
}

impl Runner {
    pub async fn start(
        id: &str,
        service: &str,
        zone: &str,
        models: &[&str],
        work: Duration,
        store: &Store,
        arrivals: &Arrivals,
    ) -> std::io::Result<Self> {
        let streams = Streams::default();
        Self::start_with(id, service, zone, models, work, streams, store, arrivals).await
    }

    #[allow(clippy::too_many_arguments)]
    pub async fn start_with(
        id: &str,
        service: &str,
        zone: &str,
        models: &[&str],
        work: Duration,
        streams: Streams,
        store: &Store,
        arrivals: &Arrivals,
    ) -> std::io::Result<Self> {
        let models: Vec<String> = models.iter().map(|&model| model.to_owned()).collect();
        let shared = Shared {
            state: Arc::new(Mutex::new(State {
                id: id.to_owned(),
                service: service.to_owned(),
                zone: zone.to_owned(),
                on_disk: models.iter().cloned().collect(),
                models,
                adapters: BTreeSet::new(),
                pending: BTreeSet::new(),
                sequence: 0,
                is_busy: false,
                is_draining: false,
                is_down: false,
                born: unix_millis(),
                work,
                streams,
            })),
            store: store.clone(),
            arrivals: arrivals.clone(),
            crash: Arc::default(),
        };
        let handling = shared.clone();
        let (address, server) = serve(move |request| respond(handling.clone(), request)).await?;
        store.put("servers", id, entry(&shared.state.lock().unwrap(), address));
        let server = Arc::new(Mutex::new(server));
        tokio::spawn(restart_after_crashes(
            shared.clone(),
            address,
            Arc::clone(&server),
        ));
        let beating = shared.clone();
        let beats = tokio::spawn(async move {
            loop {
                tokio::time::sleep(HEARTBEAT).await;
                let (id, spec, is_down) = {
                    let state = beating.state.lock().unwrap();
                    (state.id.clone(), entry(&state, address), state.is_down)
                };
                let known = beating.store.spec("servers", &id);
                let is_known = known.is_some_and(|known| is_same_but_sequence(&known, &spec));
                if !is_down && !is_known {
                    beating.store.put("servers", &id, spec);
                }
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            shared,
            record: store.record.clone(),
            server,
            beats: beats.abort_handle(),
        })
    }

    /// Writes the entry again, as after a return of the store from a copy.
    pub fn register(&self) {
        let spec = entry(&self.shared.state.lock().unwrap(), self.address);
        self.shared.store.put("servers", &self.id, spec);
    }

    /// Reports `draining`; returns the time of the store's acknowledgement.
    pub fn drain(&self) -> u64 {
        self.shared.state.lock().unwrap().is_draining = true;
        self.register();
        let at_ms = self.record.millis();
        self.record
            .note(&format!("runner {} draining acknowledged", self.id));
        at_ms
    }

    /// Ends the process: its connections close and its entry is removed. Returns the attempts
    /// that were running.
    pub fn exit(&self) -> Vec<String> {
        let running = self.shared.arrivals.running.lock().unwrap();
        let running = running.get(&self.id).cloned();
        self.server.lock().unwrap().abort();
        self.beats.abort();
        self.shared.store.delete("servers", &self.id);
        let running: Vec<String> = running.unwrap_or_default().into_iter().collect();
        self.record
            .note(&format!("runner {} exits running={running:?}", self.id));
        running
    }
}

fn unix_millis() -> u64 {
    let since = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap();
    since.as_millis() as u64
}

/// Ends the process at each crash and starts it again after its downtime, under the same id and
/// address: it holds nothing then, its counts start anew, and its disk has what it had.
async fn restart_after_crashes(
    shared: Shared,
    address: SocketAddrV4,
    server: Arc<Mutex<AbortHandle>>,
) {
    loop {
        shared.crash.notified().await;
        server.lock().unwrap().abort();
        let record = &shared.store.record;
        shared
            .arrivals
            .crashes
            .lock()
            .unwrap()
            .push(record.millis());
        let (id, downtime) = {
            let mut state = shared.state.lock().unwrap();
            state.is_down = true;
            state.is_busy = false;
            state.models.clear();
            state.adapters.clear();
            state.pending.clear();
            state.sequence = 0;
            (state.id.clone(), state.streams.downtime)
        };
        record.note(&format!("runner {id} crashes"));
        tokio::time::sleep(downtime).await;
        shared.state.lock().unwrap().born = unix_millis();
        let again = loop {
            let handling = shared.clone();
            match serve_at(address, move |request| respond(handling.clone(), request)).await {
                Ok((_, again)) => break again,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        };
        *server.lock().unwrap() = again;
        let spec = {
            let mut state = shared.state.lock().unwrap();
            state.is_down = false;
            entry(&state, address)
        };
        shared.store.put("servers", &id, spec);
        record.note(&format!("runner {id} is back, empty"));
    }
}

fn is_same_but_sequence(one: &Value, other: &Value) -> bool {
    let without = |spec: &Value| {
        let mut spec = spec.clone();
        spec["sequence"] = Value::Null;
        spec
    };
    without(one) == without(other)
}

fn models(state: &State) -> Vec<Value> {
    let adapters = |model: &String| -> Vec<&String> {
        let held = state.adapters.iter().filter(|(of, _)| of == model);
        held.map(|(_, adapter)| adapter).collect()
    };
    let describe =
        |model: &String| json!({ "name": model, "version": 1, "adapters": adapters(model) });
    state.models.iter().map(describe).collect()
}

fn entry(state: &State, address: SocketAddrV4) -> Value {
    json!({
        "service": state.service,
        "address": address.to_string(),
        "zone": state.zone,
        "version": "v1",
        "slots": SLOTS,
        "available": { "in_memory": state.models, "on_disk": state.on_disk },
        "state": if state.is_draining { "draining" } else { "ready" },
        "cold_remaining_ms": 0,
        "stage": "combined",
        "models": models(state),
        "sequence": state.sequence,
        "born": state.born,
    })
}

/// Counts an attempt as running until dropped.
struct RunGuard {
    arrivals: Arrivals,
    runner: String,
    attempt: String,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut running = self.arrivals.running.lock().unwrap();
        if let Some(attempts) = running.get_mut(&self.runner) {
            attempts.remove(&self.attempt);
        }
    }
}

/// Answers a call; a runner that is leaving says that it closes the connection.
async fn respond(shared: Shared, request: Request<Incoming>) -> Option<Response<Body>> {
    let state = Arc::clone(&shared.state);
    let mut response = respond_to(shared, request).await?;
    if state.lock().unwrap().is_draining {
        let headers = response.headers_mut();
        headers.insert("connection", HeaderValue::from_static("close"));
    }
    Some(response)
}

async fn respond_to(shared: Shared, request: Request<Incoming>) -> Option<Response<Body>> {
    let Shared {
        state, arrivals, ..
    } = &shared;
    let record = &shared.store.record;
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let header =
        |name: &str| -> Option<String> { Some(parts.headers.get(name)?.to_str().ok()?.to_owned()) };
    let (id, work) = {
        let state = state.lock().unwrap();
        (state.id.clone(), state.work)
    };
    let identity = [("clementinepond-instance-id", &*id)];
    if header("clementinepond-expected-instance").is_some_and(|expected| expected != id) {
        return Some(answer(StatusCode::MISDIRECTED_REQUEST, &identity, ""));
    }
    match parts.uri.path() {
        "/report" => {
            let active = arrivals.running_at(&id);
            return Some(report(&state.lock().unwrap(), active));
        }
        "/order" => return Some(order(&shared, &body)),
        "/healthz" => {
            let status = match state.lock().unwrap().is_draining {
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::OK,
            };
            return Some(answer(status, &identity, ""));
        }
        _ => {}
    }
    let load = format!("{},0,{SLOTS}", arrivals.running_at(&id));
    let refused = [
        ("clementinepond-not-executed", "1"),
        ("clementinepond-instance-id", &*id),
        ("clementinepond-instance-load", &*load),
    ];
    let Some(attempt) = header("clementinepond-attempt-id") else {
        return Some(answer(StatusCode::BAD_REQUEST, &refused, ""));
    };
    let model = header("clementinepond-model-name");
    if let Some(model) = &model {
        let (name, adapter) = model.split_once('/').unwrap_or((model, ""));
        let state = state.lock().unwrap();
        let key = (name.to_owned(), adapter.to_owned());
        if state.pending.contains(&key) {
            return Some(answer(StatusCode::SERVICE_UNAVAILABLE, &refused, ""));
        }
        let has_model = state.models.iter().any(|held| held == name);
        if !has_model || !(adapter.is_empty() || state.adapters.contains(&key)) {
            return Some(answer(StatusCode::MISDIRECTED_REQUEST, &refused, ""));
        }
    }
    let run = RunArrival {
        at_ms: record.millis(),
        runner: id.clone(),
        attempt: attempt.clone(),
    };
    record.note(&format!(
        "run runner={id} attempt={attempt} path={} tenant={} bytes={}",
        parts.uri.path(),
        header("clementinepond-tenant-name").unwrap_or_default(),
        body.len()
    ));
    arrivals.runs.lock().unwrap().push(run);
    {
        let mut running = arrivals.running.lock().unwrap();
        running
            .entry(id.clone())
            .or_default()
            .insert(attempt.clone());
    }
    let guard = RunGuard {
        arrivals: arrivals.clone(),
        runner: id.clone(),
        attempt: attempt.clone(),
    };
    let load = format!("{},0,{SLOTS}", arrivals.running_at(&id));
    let signed = [
        ("clementinepond-attempt-id", &*attempt),
        ("clementinepond-server-signature", "3e1b.07.5a2"),
        ("clementinepond-instance-id", &*id),
        ("clementinepond-instance-load", &*load),
    ];
    if model.is_none() {
        tokio::time::sleep(work).await;
        drop(guard);
        return Some(answer(StatusCode::OK, &signed, &format!("done {attempt}")));
    }
    let streams = state.lock().unwrap().streams;
    let prompt = header("clementinepond-prompt-prefix").unwrap_or_default();
    let crashes = streams.crashing.is_some_and(|part| prompt.contains(part));
    let events = EventStream {
        _guard: guard,
        next: 1,
        streams,
        delay: Box::pin(tokio::time::sleep(streams.delay)),
        crash: crashes.then(|| Arc::clone(&shared.crash)),
    };
    let mut response = answer(StatusCode::OK, &signed, "");
    *response.body_mut() = StreamBody::new(events).boxed_unsync();
    Some(response)
}

/// Events of a stream; the run ends when they are dropped.
struct EventStream {
    _guard: RunGuard,
    next: u32,
    streams: Streams,
    delay: std::pin::Pin<Box<tokio::time::Sleep>>,
    /// Ends the runner at the second event, if the prompt crashes it.
    crash: Option<Arc<Notify>>,
}

impl futures_util::Stream for EventStream {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        use std::task::Poll;
        if self.next > self.streams.events && self.next < u32::MAX - 1 {
            return Poll::Ready(None);
        }
        match std::future::Future::poll(self.delay.as_mut(), context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) if self.next == 2 && self.crash.is_some() => {
                // The connection ends with the process.
                self.delay = Box::pin(tokio::time::sleep(Duration::from_secs(60)));
                self.crash.iter().for_each(|crash| crash.notify_one());
                context.waker().wake_by_ref();
                self.crash = None;
                self.next = u32::MAX - 1;
                Poll::Pending
            }
            Poll::Ready(()) => {
                let event = format!("id: {}\ndata: piece {}\n\n", self.next, self.next);
                self.next += 1;
                self.delay = Box::pin(tokio::time::sleep(self.streams.delay));
                Poll::Ready(Some(Ok(Frame::data(Bytes::from(event)))))
            }
        }
    }
}

fn report(state: &State, active: usize) -> Response<Body> {
    let pending: Vec<String> = state
        .pending
        .iter()
        .map(|(model, adapter)| format!("{model}/{adapter}@1"))
        .collect();
    json_answer(
        StatusCode::OK,
        &json!({
            "stage": "combined",
            "models": models(state),
            "busy": state.is_busy,
            "sequence": state.sequence,
            "queued": 0,
            "active": active,
            "kv_used": 0,
            "kv_total": 272_282,
            "handles": 0,
            "pending": pending,
            "born": state.born,
        }),
    )
}

/// Carries out an order: a model is loaded from the disk or the weight store, an adapter within
/// milliseconds; what is unloaded is dropped at once.
fn order(shared: &Shared, body: &Bytes) -> Response<Body> {
    let refuse = |status| answer(status, &[], "");
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return refuse(StatusCode::BAD_REQUEST);
    };
    let (Some(holder), Some(fence)) = (order["holder"].as_str(), order["fencing_token"].as_u64())
    else {
        return refuse(StatusCode::BAD_REQUEST);
    };
    let record = &shared.store.record;
    let mut state = shared.state.lock().unwrap();
    record.note(&format!("order runner={} {order}", state.id));
    shared.arrivals.orders.lock().unwrap().push(OrderArrival {
        at_ms: record.millis(),
        runner: state.id.clone(),
        holder: holder.to_owned(),
        fence,
    });
    let expected = order["precondition"].as_u64();
    if state.is_busy || expected.is_some_and(|count| count != state.sequence) {
        return refuse(StatusCode::CONFLICT);
    }
    let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
    let key = (text("model"), text("adapter"));
    let is_load = order["operation"] == "load";
    let is_adapter = !key.1.is_empty();
    let is_held = match is_adapter {
        true => state.adapters.contains(&key) || state.pending.contains(&key),
        false => state.models.contains(&key.0),
    };
    if is_adapter && !state.models.contains(&key.0) {
        return refuse(StatusCode::BAD_REQUEST);
    }
    if is_load == is_held && !(is_adapter && !is_load) {
        return refuse(StatusCode::OK);
    }
    state.sequence += 1;
    if !is_load {
        state
            .adapters
            .retain(|held| *held != key && (is_adapter || held.0 != key.0));
        if !is_adapter {
            state.models.retain(|held| *held != key.0);
        }
        return refuse(if is_adapter {
            StatusCode::OK
        } else {
            StatusCode::ACCEPTED
        });
    }
    let time = match (is_adapter, state.on_disk.contains(&key.0)) {
        (true, _) => ADAPTER_LOAD,
        (false, true) => DISK_LOAD,
        (false, false) => STORE_LOAD,
    };
    if is_adapter {
        state.pending.insert(key.clone());
    } else {
        state.is_busy = true;
    }
    let (born, shared) = (state.born, shared.clone());
    tokio::spawn(async move {
        tokio::time::sleep(time).await;
        let mut state = shared.state.lock().unwrap();
        if state.born != born || state.is_down {
            return;
        }
        if is_adapter {
            state.pending.remove(&key);
            state.adapters.insert(key);
        } else {
            state.is_busy = false;
            state.on_disk.insert(key.0.clone());
            state.models.push(key.0);
        }
    });
    refuse(StatusCode::ACCEPTED)
}
