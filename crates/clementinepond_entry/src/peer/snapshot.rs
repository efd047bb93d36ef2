//! Snapshots of configuration and endpoints, from VM to VM.
//!
//! A VM whose path to the store is refused, or that starts while the store is
//! away, takes both from a peer that knows more.

use crate::clock::BootClock;
use crate::http::{HttpLine, tune_socket};
use crate::node::EntryNode;
use clementinepond_platform::{StoreObject, StorePage};
use clementinepond_types::{TimeSpan, VmId};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Time that the VM's own watch gets before a peer is asked.
const PATIENCE: TimeSpan = TimeSpan::from_millis(350);
/// Longest time for a snapshot.
const CALL_LIMIT: TimeSpan = TimeSpan::from_millis(800);
/// Path of the snapshot.
const SNAPSHOT_PATH: &str = "/snapshot";

#[derive(Debug, Serialize, Deserialize)]
struct EndpointRecord {
    name: Box<str>,
    revision: u64,
    spec: Value,
}

#[derive(Debug, Serialize, Deserialize)]
struct FleetSnapshot {
    configuration: Option<Value>,
    /// Revision of the newest change of an endpoint's entry.
    revision: u64,
    endpoints: Vec<EndpointRecord>,
    vms: Vec<(VmId, SocketAddrV4)>,
}

/// Serves snapshots until the VM ends.
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
                let response = answer(&node, request.uri().path());
                std::future::ready(Ok::<_, Infallible>(response))
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::trace!("event=snapshot_connection_ended error=\"{error}\"");
            }
        });
    }
}

fn answer(node: &EntryNode, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = if path == SNAPSHOT_PATH {
        match serde_json::to_vec(&snapshot(node)) {
            Ok(body) => (StatusCode::OK, body),
            Err(error) => {
                log::error!("event=snapshot_unwritable error=\"{error}\"");
                (StatusCode::INTERNAL_SERVER_ERROR, Vec::new())
            }
        }
    } else {
        (StatusCode::NOT_FOUND, Vec::new())
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

fn snapshot(node: &EntryNode) -> FleetSnapshot {
    let state = node.state.borrow();
    let endpoints = state
        .endpoint_specs
        .iter()
        .map(|(name, (revision, spec))| EndpointRecord {
            name: name.clone(),
            revision: *revision,
            spec: spec.clone(),
        });
    let vms = state
        .peers
        .all()
        .map(|(vm, peer)| (vm.clone(), peer.address));
    FleetSnapshot {
        configuration: state.configuration_spec.as_deref().cloned(),
        revision: state.endpoint_revision,
        endpoints: endpoints.collect(),
        vms: vms.collect(),
    }
}

/// Takes snapshots from peers that know more, until the VM ends.
pub(crate) async fn follow_peers(node: Rc<EntryNode>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = node.peer_news.notified() => {}
        }
        if node.peer_with_more(BootClock::now()).is_none() {
            continue;
        }
        tokio::time::sleep(PATIENCE.duration()).await;
        let Some(address) = node.peer_with_more(BootClock::now()) else {
            continue;
        };
        if let Some(snapshot) = fetch(address).await {
            take(&node, snapshot, address);
        }
    }
}

async fn fetch(address: SocketAddrV4) -> Option<FleetSnapshot> {
    let mut line = HttpLine::new(address);
    let call = line.call(
        Method::GET,
        SNAPSHOT_PATH,
        HeaderMap::new(),
        Vec::new(),
        CALL_LIMIT,
    );
    let reply = match call.await {
        Ok(reply) => reply,
        Err(error) => {
            log::debug!("event=snapshot_failed peer={address} error=\"{error}\"");
            return None;
        }
    };
    match serde_json::from_slice(&reply.body) {
        Ok(snapshot) => Some(snapshot),
        Err(error) => {
            log::warn!("event=snapshot_malformed peer={address} error=\"{error}\"");
            None
        }
    }
}

fn take(node: &EntryNode, snapshot: FleetSnapshot, address: SocketAddrV4) {
    let now = BootClock::now();
    for (vm, address) in &snapshot.vms {
        node.learn_peer(vm, *address, now);
    }
    if let Some(spec) = &snapshot.configuration {
        node.offer_configuration(spec, "peer");
    }
    let known = node.state.borrow().endpoint_revision;
    let revision = snapshot.revision;
    if revision <= known {
        return;
    }
    log::info!("event=snapshot_taken peer={address} revision={revision} known={known}");
    let objects = snapshot.endpoints.into_iter().map(|one| StoreObject {
        name: one.name,
        revision: one.revision,
        is_deleted: false,
        spec: one.spec,
    });
    let page = StorePage {
        objects: objects.collect(),
        has_more: false,
        revision,
    };
    node.take_endpoints(page, true, "peer");
}
