//! Runner of a service, as PROTOCOL.md describes it: it registers itself in the store, runs
//! requests, loads adapters as ordered, and leaves as announced.

use crate::record::Record;
use crate::server::{Body, answer, json_answer, serve};
use crate::store::Store;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::AbortHandle;

/// `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time of an adapter load.
const ADAPTER_LOAD: Duration = Duration::from_millis(8);
/// Events of a stream and the time before each.
const EVENTS: u32 = 5;
const EVENT_DELAY: Duration = Duration::from_millis(20);

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
}

/// What reached the runners of a case.
#[derive(Clone, Default)]
pub struct Arrivals {
    pub orders: Arc<Mutex<Vec<OrderArrival>>>,
    pub runs: Arc<Mutex<Vec<RunArrival>>>,
    /// Attempts that are running, by runner.
    pub running: Arc<Mutex<BTreeMap<String, BTreeSet<String>>>>,
}

struct State {
    id: String,
    service: String,
    zone: String,
    models: Vec<String>,
    adapters: BTreeSet<(String, String)>,
    pending: BTreeSet<(String, String)>,
    sequence: u64,
    is_draining: bool,
    born: u64,
    work: Duration,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddrV4,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
    arrivals: Arrivals,
    server: AbortHandle,
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
        let since = std::time::SystemTime::UNIX_EPOCH.elapsed().unwrap();
        let state = Arc::new(Mutex::new(State {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            models: models.iter().map(|&model| model.to_owned()).collect(),
            adapters: BTreeSet::new(),
            pending: BTreeSet::new(),
            sequence: 0,
            is_draining: false,
            born: since.as_millis() as u64,
            work,
        }));
        let record = store.record.clone();
        let (shared, notes, seen) = (Arc::clone(&state), record.clone(), arrivals.clone());
        let handler =
            move |request| respond(Arc::clone(&shared), notes.clone(), seen.clone(), request);
        let (address, server) = serve(handler).await?;
        store.put("servers", id, entry(&state.lock().unwrap(), address));
        let (shared, beat_store) = (Arc::clone(&state), store.clone());
        let beats = tokio::spawn(async move {
            loop {
                tokio::time::sleep(HEARTBEAT).await;
                let (id, spec) = {
                    let state = shared.lock().unwrap();
                    (state.id.clone(), entry(&state, address))
                };
                let known = beat_store.spec("servers", &id);
                if !known.is_some_and(|known| is_same_but_sequence(&known, &spec)) {
                    beat_store.put("servers", &id, spec);
                }
            }
        });
        Ok(Self {
            id: id.to_owned(),
            address,
            state,
            store: store.clone(),
            record,
            arrivals: arrivals.clone(),
            server,
            beats: beats.abort_handle(),
        })
    }

    /// Writes the entry again, as after a return of the store from a copy.
    pub fn register(&self) {
        let spec = entry(&self.state.lock().unwrap(), self.address);
        self.store.put("servers", &self.id, spec);
    }

    /// Reports `draining`; returns the time of the store's acknowledgement.
    pub fn drain(&self) -> u64 {
        self.state.lock().unwrap().is_draining = true;
        self.register();
        let at_ms = self.record.millis();
        self.record
            .note(&format!("runner {} draining acknowledged", self.id));
        at_ms
    }

    /// Ends the process: its connections close and its entry is removed. Returns the attempts
    /// that were running.
    pub fn exit(&self) -> Vec<String> {
        let running = self.arrivals.running.lock().unwrap().get(&self.id).cloned();
        self.server.abort();
        self.beats.abort();
        self.store.delete("servers", &self.id);
        let running: Vec<String> = running.unwrap_or_default().into_iter().collect();
        self.record
            .note(&format!("runner {} exits running={running:?}", self.id));
        running
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
        "slots": 64,
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

async fn respond(
    state: Arc<Mutex<State>>,
    record: Record,
    arrivals: Arrivals,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
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
        "/report" => return Some(report(&state.lock().unwrap())),
        "/order" => return Some(order(&state, &record, &arrivals, &body)),
        "/healthz" => {
            let status = match state.lock().unwrap().is_draining {
                true => StatusCode::SERVICE_UNAVAILABLE,
                false => StatusCode::OK,
            };
            return Some(answer(status, &identity, ""));
        }
        _ => {}
    }
    let refused = [
        ("clementinepond-not-executed", "1"),
        ("clementinepond-instance-id", &*id),
        ("clementinepond-instance-load", "0,0,64"),
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
    let signed = [
        ("clementinepond-attempt-id", &*attempt),
        ("clementinepond-server-signature", "3e1b.07.5a2"),
        ("clementinepond-instance-id", &*id),
        ("clementinepond-instance-load", "1,0,64"),
    ];
    if model.is_none() {
        tokio::time::sleep(work).await;
        drop(guard);
        return Some(answer(StatusCode::OK, &signed, &format!("done {attempt}")));
    }
    let events = futures_events(guard);
    let mut response = answer(StatusCode::OK, &signed, "");
    *response.body_mut() = StreamBody::new(events).boxed_unsync();
    Some(response)
}

/// Returns the events of a stream; the run ends when they are dropped.
fn futures_events(
    guard: RunGuard,
) -> impl futures_util::Stream<Item = Result<Frame<Bytes>, std::io::Error>> {
    EventStream {
        guard,
        next: 1,
        delay: Box::pin(tokio::time::sleep(EVENT_DELAY)),
    }
}

struct EventStream {
    #[allow(dead_code)]
    guard: RunGuard,
    next: u32,
    delay: std::pin::Pin<Box<tokio::time::Sleep>>,
}

impl futures_util::Stream for EventStream {
    type Item = Result<Frame<Bytes>, std::io::Error>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        use std::task::Poll;
        if self.next > EVENTS {
            return Poll::Ready(None);
        }
        match std::future::Future::poll(self.delay.as_mut(), context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => {
                let event = format!("id: {}\ndata: piece {}\n\n", self.next, self.next);
                self.next += 1;
                self.delay = Box::pin(tokio::time::sleep(EVENT_DELAY));
                Poll::Ready(Some(Ok(Frame::data(Bytes::from(event)))))
            }
        }
    }
}

fn report(state: &State) -> Response<Body> {
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
            "busy": false,
            "sequence": state.sequence,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 272_282,
            "handles": 0,
            "pending": pending,
            "born": state.born,
        }),
    )
}

/// Carries out an order; only adapters are loaded and unloaded in these cases.
fn order(
    shared: &Arc<Mutex<State>>,
    record: &Record,
    arrivals: &Arrivals,
    body: &Bytes,
) -> Response<Body> {
    let refuse = |status| answer(status, &[], "");
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return refuse(StatusCode::BAD_REQUEST);
    };
    let (Some(holder), Some(fence)) = (order["holder"].as_str(), order["fencing_token"].as_u64())
    else {
        return refuse(StatusCode::BAD_REQUEST);
    };
    let mut state = shared.lock().unwrap();
    record.note(&format!("order runner={} {order}", state.id));
    arrivals.orders.lock().unwrap().push(OrderArrival {
        at_ms: record.millis(),
        runner: state.id.clone(),
        holder: holder.to_owned(),
        fence,
    });
    if order["precondition"]
        .as_u64()
        .is_some_and(|count| count != state.sequence)
    {
        return refuse(StatusCode::CONFLICT);
    }
    let text = |name: &str| order[name].as_str().unwrap_or_default().to_owned();
    let key = (text("model"), text("adapter"));
    if key.1.is_empty() || !state.models.contains(&key.0) {
        return refuse(StatusCode::BAD_REQUEST);
    }
    if order["operation"] == "unload" {
        state.adapters.remove(&key);
        state.sequence += 1;
        return refuse(StatusCode::OK);
    }
    if state.adapters.contains(&key) || state.pending.contains(&key) {
        return refuse(StatusCode::OK);
    }
    state.sequence += 1;
    state.pending.insert(key.clone());
    let shared = Arc::clone(shared);
    tokio::spawn(async move {
        tokio::time::sleep(ADAPTER_LOAD).await;
        let mut state = shared.lock().unwrap();
        state.pending.remove(&key);
        state.adapters.insert(key);
    });
    refuse(StatusCode::ACCEPTED)
}
