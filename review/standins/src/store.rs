//! Platform's metadata store, as PROTOCOL.md describes it: objects with revisions, lists in
//! pages, watches, conditional writes, and a return from a copy with a new `Store-Era`.

use crate::record::Record;
use crate::server::{Body, json_answer, serve};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// "about 500" items in an answer.
const PAGE_ITEMS: usize = 500;
/// Stands for the text that another writer left as its entry.
pub const FOREIGN: &str = "text of another writer";

/// Usual time of an answer, as the sheets state it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Value,
}

struct Change {
    kind: String,
    name: String,
    revision: u64,
    /// `None` for a deletion.
    object: Option<Object>,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
    revision: u64,
    era: u64,
    is_away: bool,
    /// JSON text of an entry that another writer has left, as it is shown.
    foreign: String,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    pub record: Record,
    pub address: SocketAddrV4,
}

/// Copy of the objects at a time.
pub struct StoreCopy {
    objects: BTreeMap<(String, String), Object>,
    pub revision: u64,
}

impl Store {
    pub async fn start(record: &Record) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            revision: 1,
            ..State::default()
        }));
        let (changed, _) = watch::channel(0);
        let (shared, signal, notes) = (Arc::clone(&state), changed.clone(), record.clone());
        let handler =
            move |request| perform(Arc::clone(&shared), signal.clone(), notes.clone(), request);
        let (address, _) = serve(handler).await?;
        Ok(Self {
            state,
            changed,
            record: record.clone(),
            address,
        })
    }

    /// Serves the same objects at another address, with each first address in its answers
    /// replaced by the second; puts a proxy between one machine and the runners.
    pub async fn start_view(
        &self,
        addresses: Vec<(SocketAddrV4, SocketAddrV4)>,
    ) -> std::io::Result<SocketAddrV4> {
        let (shared, signal) = (Arc::clone(&self.state), self.changed.clone());
        let (record, addresses) = (self.record.clone(), Arc::new(addresses));
        let handler = move |request| {
            let addresses = Arc::clone(&addresses);
            let answered = perform(Arc::clone(&shared), signal.clone(), record.clone(), request);
            async move {
                let (parts, body) = answered.await?.into_parts();
                let bytes = body.collect().await.ok()?.to_bytes();
                let mut text = String::from_utf8(bytes.to_vec()).ok()?;
                for (from, to) in &*addresses {
                    text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
                }
                let mut response = crate::server::answer(parts.status, &[], &text);
                *response.headers_mut() = parts.headers;
                Some(response)
            }
        };
        let (address, _) = serve(handler).await?;
        Ok(address)
    }

    /// Writes an object, as the operator or a runner does; the time of the return is that of
    /// the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        let revision = {
            let mut state = self.state.lock().unwrap();
            put(&mut state, kind, name, spec).revision
        };
        self.changed.send_modify(|count| *count += 1);
        revision
    }

    pub fn delete(&self, kind: &str, name: &str) {
        delete(&mut self.state.lock().unwrap(), kind, name);
        self.changed.send_modify(|count| *count += 1);
    }

    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        let state = self.state.lock().unwrap();
        state.objects.get(&key).map(|object| object.spec.clone())
    }

    /// Sets whether every call gets 503, which means that nothing was done.
    pub fn set_away(&self, is_away: bool) {
        self.state.lock().unwrap().is_away = is_away;
        self.changed.send_modify(|count| *count += 1);
    }

    /// Writes an entry as another writer does: `text` is any JSON text.
    pub fn put_foreign(&self, kind: &str, name: &str, text: &str) {
        self.state.lock().unwrap().foreign = text.to_owned();
        self.put(kind, name, json!(FOREIGN));
    }

    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock().unwrap();
        StoreCopy {
            objects: state.objects.clone(),
            revision: state.revision,
        }
    }

    /// Comes back from a copy: objects and revisions are those of the copy, the history is
    /// gone, and the era rises by one.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock().unwrap();
        state.objects = copy.objects.clone();
        state.revision = copy.revision;
        state.changes.clear();
        state.era += 1;
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }
}

fn put(state: &mut State, kind: &str, name: &str, spec: Value) -> Object {
    let key = (kind.to_owned(), name.to_owned());
    if let Some(same) = state.objects.get(&key).filter(|known| known.spec == spec) {
        return same.clone();
    }
    state.revision += 1;
    let revision = state.revision;
    let created = state
        .objects
        .get(&key)
        .map_or(revision, |known| known.created);
    let object = Object {
        revision,
        created,
        spec,
    };
    state.objects.insert(key, object.clone());
    state.changes.push(Change {
        kind: kind.to_owned(),
        name: name.to_owned(),
        revision,
        object: Some(object.clone()),
    });
    object
}

fn delete(state: &mut State, kind: &str, name: &str) {
    let key = (kind.to_owned(), name.to_owned());
    if state.objects.remove(&key).is_none() {
        return;
    }
    state.revision += 1;
    state.changes.push(Change {
        kind: kind.to_owned(),
        name: name.to_owned(),
        revision: state.revision,
        object: None,
    });
}

fn object_json(name: &str, object: &Object) -> Value {
    json!({
        "metadata": {
            "name": name,
            "revision": object.revision,
            "created": object.created,
            "finalizers": [],
            "deleting": false,
        },
        "spec": object.spec,
        "status": null,
    })
}

async fn perform(
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    record: Record,
    request: Request<Incoming>,
) -> Option<Response<Body>> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    let path = parts.uri.path().trim_start_matches("/objects/").to_owned();
    let (kind, name) = match path.split_once('/') {
        Some((kind, name)) => (kind.to_owned(), Some(name.to_owned())),
        None => (path, None),
    };
    let query = parts.uri.query().unwrap_or("").to_owned();
    let text = |key: &str| -> Option<String> {
        let mut pairs = query.split('&');
        pairs
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
            .map(str::to_owned)
    };
    let number = |key: &str| text(key).and_then(|value| value.parse::<u64>().ok());
    let is_away = state.lock().unwrap().is_away;
    let mut response = if is_away {
        json_answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}))
    } else {
        match (parts.method, name) {
            (Method::GET, None) => match number("watch") {
                Some(from) => {
                    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                    follow(&state, &changed, &kind, from, wait).await
                }
                None => list(&state, &record, &kind, text("after").as_deref()),
            },
            (Method::GET, Some(name)) => {
                let state = state.lock().unwrap();
                match state.objects.get(&(kind.clone(), name.clone())) {
                    Some(object) => json_answer(StatusCode::OK, &object_json(&name, object)),
                    None => json_answer(StatusCode::NOT_FOUND, &json!({})),
                }
            }
            (Method::POST, None) => write(&state, &changed, &record, &kind, None, &body),
            (Method::PUT, Some(name)) => write(&state, &changed, &record, &kind, Some(name), &body),
            (Method::DELETE, Some(name)) => {
                delete(&mut state.lock().unwrap(), &kind, &name);
                changed.send_modify(|count| *count += 1);
                json_answer(StatusCode::OK, &json!({}))
            }
            _ => json_answer(StatusCode::BAD_REQUEST, &json!({})),
        }
    };
    let (era, foreign) = {
        let state = state.lock().unwrap();
        (state.era, state.foreign.clone())
    };
    if !foreign.is_empty() {
        let (parts, body) = response.into_parts();
        let bytes = body.collect().await.ok()?.to_bytes();
        let text = String::from_utf8(bytes.to_vec()).ok()?;
        let text = text.replace(&format!("\"{FOREIGN}\""), &foreign);
        response = crate::server::answer(parts.status, &[], &text);
        *response.headers_mut() = parts.headers;
    }
    tokio::time::sleep(ANSWER_TIME).await;
    response.headers_mut().insert("store-era", era.into());
    Some(response)
}

/// Answers with one page of a list; what it shows and its revision are of one moment.
fn list(state: &Mutex<State>, record: &Record, kind: &str, after: Option<&str>) -> Response<Body> {
    let state = state.lock().unwrap();
    let all = state.objects.iter().filter(|((of, _), _)| of == kind);
    let mut rest = all.filter(|((_, name), _)| after.is_none_or(|after| &**name > after));
    let items: Vec<Value> = rest
        .by_ref()
        .take(PAGE_ITEMS)
        .map(|((_, name), object)| object_json(name, object))
        .collect();
    let has_more = rest.next().is_some();
    record.note(&format!(
        "store list kind={kind} after={} items={} more={has_more} store_revision={}",
        after.unwrap_or("-"),
        items.len(),
        state.revision
    ));
    let body = json!({ "items": items, "more": has_more, "store_revision": state.revision });
    json_answer(StatusCode::OK, &body)
}

fn write(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    record: &Record,
    kind: &str,
    name: Option<String>,
    body: &[u8],
) -> Response<Body> {
    let Ok(object) = serde_json::from_slice::<Value>(body) else {
        return json_answer(StatusCode::BAD_REQUEST, &json!({}));
    };
    let mut state = state.lock().unwrap();
    let is_create = name.is_none();
    let Some(name) = name.or_else(|| Some(object["metadata"]["name"].as_str()?.to_owned())) else {
        return json_answer(StatusCode::BAD_REQUEST, &json!({}));
    };
    let current = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
    let expected = object["metadata"]["revision"].as_u64();
    if let Some(current) = &current {
        if is_create || expected.is_some_and(|wanted| wanted != current.revision) {
            return json_answer(StatusCode::CONFLICT, &object_json(&name, current));
        }
    } else if !is_create {
        return json_answer(StatusCode::NOT_FOUND, &json!({}));
    }
    let before = current.map(|current| current.spec);
    let stored = put(&mut state, kind, &name, object["spec"].clone());
    drop(state);
    changed.send_modify(|count| *count += 1);
    let holder = |spec: &Value| spec["holder"].as_str().unwrap_or("none").to_owned();
    if kind == "cpond-leases" && before.as_ref().map(holder) != Some(holder(&stored.spec)) {
        record.note(&format!(
            "store lease holder={} previous={} revision={}",
            holder(&stored.spec),
            stored.spec["previous"],
            stored.revision
        ));
    }
    json_answer(StatusCode::OK, &object_json(&name, &stored))
}

async fn follow(
    state: &Mutex<State>,
    changed: &watch::Sender<u64>,
    kind: &str,
    from: u64,
    wait: Duration,
) -> Response<Body> {
    let until = Instant::now() + wait;
    let mut signal = changed.subscribe();
    loop {
        {
            let state = state.lock().unwrap();
            if state.is_away {
                return json_answer(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
            }
            let oldest = state
                .changes
                .first()
                .map_or(state.revision, |change| change.revision - 1);
            if from < oldest || from > state.revision {
                return json_answer(StatusCode::GONE, &json!({}));
            }
            let events: Vec<Value> = state
                .changes
                .iter()
                .filter(|change| change.kind == kind && change.revision > from)
                .map(|change| match &change.object {
                    Some(object) => {
                        json!({ "object": object_json(&change.name, object), "deleted": false })
                    }
                    None => json!({
                        "object": {
                            "metadata": { "name": change.name, "revision": change.revision },
                        },
                        "deleted": true,
                    }),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                let body = json!({ "events": events, "store_revision": state.revision });
                return json_answer(StatusCode::OK, &body);
            }
        }
        let _ = tokio::time::timeout_at(until, signal.changed()).await;
    }
}
