//! Snapshots of the configuration and the endpoint directory, fetched from peers.
//!
//! A VM that does not watch the store, cannot reach it, or starts while it is unavailable
//! fetches both from a peer with newer revisions.

use super::traffic::TrafficKind;
use crate::clock::BootClock;
use crate::http::{HttpClient, tune_socket};
use crate::node::{EntryNode, increment};
use crate::store::{StoreClient, WatchTarget};
use clementinepond_platform::{CONFIGURATION_KIND, CONFIGURATION_NAME, StoreObject};
use clementinepond_types::{TimeSpan, VmId};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Minimum delay, doubled at most by jitter, for this VM's own watch to catch up before a
/// snapshot is requested from a peer.
const SNAPSHOT_DELAY: TimeSpan = TimeSpan::from_millis(200);
/// Timeout of a snapshot request.
const CALL_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_500);
/// Number of peers from which a snapshot is requested in turn.
const MAX_SOURCES: usize = 3;
/// Request path of the snapshot.
const SNAPSHOT_PATH: &str = "/snapshot";

/// Endpoint entry as stored.
#[derive(Debug, Serialize, Deserialize)]
struct EndpointRecord {
    name: Box<str>,
    revision: u64,
    spec: Value,
}

/// Answer to a snapshot request, relative to the revisions that the requester stated.
#[derive(Debug, Serialize, Deserialize)]
struct FleetSnapshot {
    /// Current configuration as stored, if it is newer than the requester's.
    configuration: Option<Value>,
    /// Store revision up to which that configuration is the newest.
    #[serde(default)]
    configuration_revision: u64,
    /// Revision of the newest change of an endpoint's entry.
    revision: u64,
    /// Entries that changed after the requester's revision.
    endpoints: Vec<EndpointRecord>,
    /// Names of all entries; others are deleted.
    names: Vec<Box<str>>,
    /// Known peers and their addresses.
    vms: Vec<(VmId, SocketAddrV4)>,
}

/// Serves snapshots until the VM stops.
pub(crate) async fn serve_snapshots(
    node: Rc<EntryNode>,
    listener: TcpListener,
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
        let node = Rc::clone(&node);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let uri = request.uri();
                let response = answer(&node, uri.path(), uri.query().unwrap_or(""));
                std::future::ready(Ok::<_, Infallible>(response))
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::trace!("event=snapshot_connection_ended error=\"{error}\"");
            }
        });
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
    let number = |key: &str| -> u64 {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))
            .and_then(|value| value.parse().ok())
            .unwrap_or(0)
    };
    let (since, version) = (number("since"), number("configuration"));
    let state = node.state.borrow();
    let endpoints = state
        .endpoint_specs
        .iter()
        .filter(|(_, (revision, _))| *revision > since)
        .map(|(name, (revision, spec))| EndpointRecord {
            name: name.clone(),
            revision: *revision,
            spec: spec.clone(),
        });
    let vms = state
        .peers
        .all()
        .map(|(vm, peer)| (vm.clone(), peer.address));
    let is_newer = state.configuration_version() > version;
    FleetSnapshot {
        names: state.endpoint_specs.keys().cloned().collect(),
        configuration: is_newer
            .then(|| state.configuration_spec.as_deref().cloned())
            .flatten(),
        configuration_revision: state.configuration_revision,
        revision: state.endpoint_revision,
        endpoints: endpoints.collect(),
        vms: vms.collect(),
    }
}

/// Fetches snapshots from peers with newer revisions until the VM stops.
pub(crate) async fn fetch_newer_snapshots(node: Rc<EntryNode>, stop: CancellationToken) {
    let mut client = StoreClient::new(node.settings().store.address);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = node.heartbeat_received.notified() => {}
        }
        if node.newer_peer(&[], BootClock::now()).is_none() {
            continue;
        }
        let jitter = rand::rng().random_range(100..200);
        tokio::time::sleep(SNAPSHOT_DELAY.fraction(jitter, 100).duration()).await;
        if node.is_peer_ahead(WatchTarget::Configuration) && !node.is_watcher(BootClock::now()) {
            read_configuration(&node, &mut client).await;
        }
        fetch_from_peers(&node).await;
    }
}

/// Reads the configuration from the store, which has more bandwidth than a peer.
async fn read_configuration(node: &EntryNode, client: &mut StoreClient) {
    increment(&node.stats.store_calls);
    match client.read(CONFIGURATION_KIND, CONFIGURATION_NAME).await {
        Ok(Some(object)) => {
            node.apply_configuration(&object.spec, object.revision, "store");
        }
        Ok(None) => {}
        Err(error) => log::info!("event=configuration_unread error=\"{error}\""),
    }
}

/// Requests a snapshot from peers in turn until one serves it.
async fn fetch_from_peers(node: &EntryNode) {
    let mut asked = Vec::new();
    while asked.len() < MAX_SOURCES
        && let Some((vm, address)) = node.newer_peer(&asked, BootClock::now())
    {
        if let Some(snapshot) = fetch(node, address).await {
            apply(node, snapshot, address);
            return;
        }
        asked.push(vm);
    }
}

async fn fetch(node: &EntryNode, address: SocketAddrV4) -> Option<FleetSnapshot> {
    let path = {
        let state = node.state.borrow();
        let version = state.configuration_version();
        let since = state.endpoint_revision;
        format!("{SNAPSHOT_PATH}?since={since}&configuration={version}")
    };
    let mut client = HttpClient::new(address);
    let call = client.call(
        Method::GET,
        &path,
        HeaderMap::new(),
        Vec::new(),
        CALL_TIMEOUT,
    );
    let reply = match call.await {
        Ok(reply) => reply,
        Err(error) => {
            log::debug!("event=snapshot_failed peer={address} error=\"{error}\"");
            return None;
        }
    };
    if reply.status != StatusCode::OK {
        log::debug!(
            "event=snapshot_failed peer={address} error=\"answered {}\"",
            reply.status
        );
        return None;
    }
    match serde_json::from_slice(&reply.body) {
        Ok(snapshot) => Some(snapshot),
        Err(error) => {
            log::warn!("event=snapshot_malformed peer={address} error=\"{error}\"");
            None
        }
    }
}

fn apply(node: &EntryNode, snapshot: FleetSnapshot, address: SocketAddrV4) {
    let now = BootClock::now();
    for (vm, address) in &snapshot.vms {
        node.learn_peer(vm, *address, now);
    }
    if let Some(spec) = &snapshot.configuration {
        node.apply_configuration(spec, snapshot.configuration_revision, "peer");
    }
    let known = node.state.borrow().endpoint_revision;
    if snapshot.revision <= known {
        return;
    }
    log::info!(
        "event=snapshot_taken peer={address} revision={} known={known} entries={}",
        snapshot.revision,
        snapshot.endpoints.len()
    );
    let objects = snapshot.endpoints.into_iter().map(|record| StoreObject {
        name: record.name,
        revision: record.revision,
        is_deleted: false,
        spec: record.spec,
    });
    node.apply_snapshot(objects.collect(), &snapshot.names, snapshot.revision);
}
