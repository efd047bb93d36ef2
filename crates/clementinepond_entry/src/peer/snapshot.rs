//! Calls of peers: snapshots of the configuration and the endpoint directory, and requests
//! that they forward.

use super::traffic::TrafficKind;
use crate::clock::BootClock;
use crate::forward::{PeerBody, REACH_PATH, answer_reach, is_forwarded, serve_forwarded};
use crate::http::tune_socket;
use crate::node::EntryNode;
use clementinepond_types::VmId;
use http_body_util::{Either, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Request path of the snapshot.
pub(super) const SNAPSHOT_PATH: &str = "/snapshot";

/// Endpoint entry as stored.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct EndpointRecord {
    pub(super) name: Box<str>,
    pub(super) revision: u64,
    pub(super) spec: Value,
}

/// Answer to a snapshot request; contains only what the requester stated a revision of.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct FleetSnapshot {
    /// Current configuration as stored, if it is newer than the requester's.
    pub(super) configuration: Option<Value>,
    /// Store revision up to which that configuration is the newest.
    #[serde(default)]
    pub(super) configuration_revision: u64,
    /// Revision of the newest change of an endpoint's entry; 0 without entries.
    pub(super) revision: u64,
    /// Entries that changed after the requester's revision.
    pub(super) endpoints: Vec<EndpointRecord>,
    /// Names of all entries; others are deleted.
    pub(super) names: Vec<Box<str>>,
    /// Known peers and their addresses.
    pub(super) vms: Vec<(VmId, SocketAddrV4)>,
}

/// Serves calls of peers until the VM stops; `tracker` holds the requests that they forward.
pub(crate) async fn serve_peers(
    node: Rc<EntryNode>,
    listener: TcpListener,
    tracker: TaskTracker,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        tune_socket(&stream);
        let (node, tracker) = (Rc::clone(&node), tracker.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (node, tracker) = (Rc::clone(&node), tracker.clone());
                async move { Ok::<_, Infallible>(answer_peer(node, request, tracker).await) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::trace!("event=snapshot_connection_ended error=\"{error}\"");
            }
        });
    }
}

async fn answer_peer(
    node: Rc<EntryNode>,
    request: Request<Incoming>,
    tracker: TaskTracker,
) -> Response<PeerBody> {
    let uri = request.uri();
    if is_forwarded(&request) {
        serve_forwarded(node, request, tracker).await
    } else if uri.path().starts_with(REACH_PATH) {
        answer_reach(&node, uri.path()).await
    } else {
        answer(&node, uri.path(), uri.query().unwrap_or("")).map(Either::Left)
    }
}

fn answer(node: &EntryNode, path: &str, query: &str) -> Response<Full<Bytes>> {
    let (status, body) = if path != SNAPSHOT_PATH {
        (StatusCode::NOT_FOUND, Vec::new())
    } else if !may_serve(node) {
        // The peer asks another VM.
        (StatusCode::SERVICE_UNAVAILABLE, Vec::new())
    } else {
        match serde_json::to_vec(&snapshot(node, query)) {
            Ok(body) => {
                record_served(node, body.len());
                (StatusCode::OK, body)
            }
            Err(error) => {
                log::error!("event=snapshot_unwritable error=\"{error}\"");
                (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
            }
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

/// Returns whether the link of this VM has room for another snapshot.
fn may_serve(node: &EntryNode) -> bool {
    let link_mbps = node.settings().capacity.link();
    let mut state = node.state.borrow_mut();
    state.snapshot_budget.is_open(link_mbps, BootClock::now())
}

fn record_served(node: &EntryNode, bytes: usize) {
    node.state.borrow_mut().snapshot_budget.charge(bytes);
    if let Some(socket) = node.socket.get() {
        socket.traffic.record(TrafficKind::Snapshot, bytes);
    }
}

fn snapshot(node: &EntryNode, query: &str) -> FleetSnapshot {
    let number = |key: &str| -> Option<u64> {
        let mut pairs = query.split('&');
        pairs
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
            .and_then(|value| value.parse().ok())
    };
    let state = node.state.borrow();
    let vms = state
        .peers
        .all()
        .map(|(vm, peer)| (vm.clone(), peer.address));
    let mut snapshot = FleetSnapshot {
        configuration: None,
        configuration_revision: state.configuration_revision,
        revision: 0,
        endpoints: Vec::new(),
        names: Vec::new(),
        vms: vms.collect(),
    };
    if number("configuration").is_some_and(|version| state.configuration_version() > version) {
        snapshot.configuration = state.configuration_spec.as_deref().cloned();
    }
    if let Some(since) = number("since") {
        let changed = state.endpoint_specs.iter();
        let changed = changed.filter(|(_, (revision, _))| *revision > since);
        snapshot.endpoints = changed
            .map(|(name, (revision, spec))| EndpointRecord {
                name: name.clone(),
                revision: *revision,
                spec: spec.clone(),
            })
            .collect();
        snapshot.names = state.endpoint_specs.keys().cloned().collect();
        snapshot.revision = state.endpoint_revision;
    }
    snapshot
}
