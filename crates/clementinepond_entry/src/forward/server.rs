//! Requests that peers forward through this VM.

use super::body::{ForwardedBody, PeerBody};
use super::outcome::ForwardOutcome;
use super::{ENDPOINT_HEADER, ONCE_HEADER, REACH_PATH};
use crate::clock::BootClock;
use crate::endpoint::{
    Attempt, AttemptAnswer, AttemptContent, AttemptFailure, OutgoingRequest, ReuseRule,
    send_directly,
};
use crate::node::EntryNode;
use clementinepond_platform::{is_hop_header, read_request};
use clementinepond_types::{EndpointId, LocalTime, RequestId, TimeSpan};
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Maximum number of requests of peers in flight; leaves file descriptors for own ones.
const MAX_FORWARDED: usize = 512;
/// Memory that the bodies of these requests share.
const BODIES_BYTES: usize = 8 * 1024 * 1024;
/// Time for which a request without a deadline is served.
const DEFAULT_TIMEOUT: TimeSpan = TimeSpan::from_secs(60);
/// Idle time within which the peer may use a connection again.
const KEEP_ALIVE: HeaderValue = HeaderValue::from_static("timeout=10");

/// Requests of peers that are in flight.
#[derive(Debug, Default)]
pub(crate) struct ForwardLoad {
    requests: Cell<usize>,
    body_bytes: Cell<usize>,
}

/// Counts a request of a peer as in flight until dropped; the VM does not end before.
#[derive(Debug)]
pub(crate) struct ForwardGuard {
    node: Rc<EntryNode>,
    body_bytes: usize,
    _token: TaskTrackerToken,
}

impl ForwardGuard {
    /// Starts a request; `None` if the VM takes no more of them.
    fn start(node: &Rc<EntryNode>, tracker: &TaskTracker, body_bytes: usize) -> Option<Self> {
        let load = &node.forward_load;
        let bytes = load.body_bytes.get() + body_bytes;
        // A stopping VM closes its tracker once callers had time to notice.
        let is_full = load.requests.get() >= MAX_FORWARDED || bytes > BODIES_BYTES;
        if is_full || tracker.is_closed() {
            return None;
        }
        load.requests.set(load.requests.get() + 1);
        load.body_bytes.set(bytes);
        Some(Self {
            node: Rc::clone(node),
            body_bytes,
            _token: tracker.token(),
        })
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        let load = &self.node.forward_load;
        load.requests.set(load.requests.get() - 1);
        load.body_bytes.set(load.body_bytes.get() - self.body_bytes);
    }
}

/// Returns whether a peer's call is a request for an endpoint.
pub(crate) fn is_forwarded(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(ENDPOINT_HEADER)
}

/// Passes a peer's request on to its endpoint, and the answer back.
pub(crate) async fn serve_forwarded(
    node: Rc<EntryNode>,
    request: Request<Incoming>,
    tracker: TaskTracker,
) -> Response<PeerBody> {
    let arrival = BootClock::now();
    let (mut parts, body) = request.into_parts();
    let endpoint = take_endpoint(&mut parts.headers);
    let reuse = match parts.headers.remove(ONCE_HEADER) {
        Some(_) => ReuseRule::Once,
        None => ReuseRule::Retryable,
    };
    let limit = node
        .table()
        .map_or(0, |table| table.policy().limits.body_bytes);
    let size = body.size_hint().exact().unwrap_or(u64::MAX);
    let known = endpoint.and_then(|id| Some((address_of(&node, &id)?, id)));
    let (Some((address, id)), true) = (known, size <= limit as u64) else {
        return failed(ForwardOutcome::Unavailable);
    };
    let Some(guard) = ForwardGuard::start(&node, &tracker, size as usize) else {
        return failed(ForwardOutcome::Unavailable);
    };
    let Ok(collected) = Limited::new(body, limit).collect().await else {
        return failed(ForwardOutcome::Unavailable);
    };
    let profile = read_request(&parts.headers);
    let deadline = arrival + profile.timeout.unwrap_or(DEFAULT_TIMEOUT);
    let request = OutgoingRequest {
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: collected.to_bytes(),
    };
    let attempt = Attempt {
        endpoint: &id,
        address,
        content: AttemptContent::Forwarded(&request),
        request_id: profile.id.as_ref(),
        deadline,
        silence: None,
        reuse,
    };
    let sent = send_within(&node, &attempt, arrival.until(deadline)).await;
    log_end(&id, profile.id.as_ref(), &sent, arrival);
    match sent {
        Ok(answer) => answered(node, answer, guard),
        Err(failure) => failed(ForwardOutcome::of_failure(failure)),
    }
}

async fn send_within(
    node: &EntryNode,
    attempt: &Attempt<'_>,
    time: TimeSpan,
) -> Result<AttemptAnswer, AttemptFailure> {
    let sending = send_directly(node, attempt);
    tokio::time::timeout(time.duration(), sending)
        .await
        .unwrap_or(Err(AttemptFailure::Broken))
}

fn log_end(
    endpoint: &EndpointId,
    id: Option<&RequestId>,
    sent: &Result<AttemptAnswer, AttemptFailure>,
    arrival: LocalTime,
) {
    log::info!(
        "event=peer_request_sent request={} endpoint={endpoint} outcome={} duration_ms={}",
        id.map_or("-", RequestId::as_str),
        match sent {
            Ok(answer) => ForwardOutcome::of_answer(answer.framing),
            Err(failure) => ForwardOutcome::of_failure(*failure),
        },
        BootClock::now().since(arrival).millis()
    );
}

/// Answers a peer that asks whether this VM reaches an endpoint.
pub(crate) async fn answer_reach(node: &EntryNode, path: &str) -> Response<PeerBody> {
    let id = path
        .strip_prefix(REACH_PATH)
        .and_then(|id| id.parse::<EndpointId>().ok());
    let mut response = Response::new(Either::Left(Full::default()));
    match id.and_then(|id| address_of(node, &id)) {
        Some(address) => {
            let verdict = node.connect_verdict(address).await;
            *response.body_mut() = Either::Left(Full::from(verdict.to_string()));
        }
        None => *response.status_mut() = StatusCode::NOT_FOUND,
    }
    response
}

fn take_endpoint(headers: &mut HeaderMap) -> Option<EndpointId> {
    headers.remove(ENDPOINT_HEADER)?.to_str().ok()?.parse().ok()
}

fn address_of(node: &EntryNode, id: &EndpointId) -> Option<SocketAddrV4> {
    let state = node.state.borrow();
    let known = state.directory.get(id)?;
    known
        .is_usable(BootClock::now())
        .then_some(known.entry.address)
}

fn answered(node: Rc<EntryNode>, answer: AttemptAnswer, guard: ForwardGuard) -> Response<PeerBody> {
    let outcome = ForwardOutcome::of_answer(answer.framing);
    let (parts, incoming) = answer.response.into_parts();
    let body = ForwardedBody::new(node, incoming, answer.connection, guard);
    let mut response = Response::new(Either::Right(body));
    *response.status_mut() = parts.status;
    let headers = response.headers_mut();
    for (name, value) in &parts.headers {
        if !is_hop_header(name) && *name != CONTENT_LENGTH {
            headers.append(name.clone(), value.clone());
        }
    }
    headers.insert("keep-alive", KEEP_ALIVE);
    outcome.write(headers);
    response
}

fn failed(outcome: ForwardOutcome) -> Response<PeerBody> {
    let mut response = Response::new(Either::Left(Full::<Bytes>::default()));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    outcome.write(response.headers_mut());
    response
}
