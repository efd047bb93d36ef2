//! Fetches of the configuration and of endpoints' entries that peers already have.
//!
//! A VM that does not watch the store, cannot reach it, or starts while it is unavailable
//! learns from heartbeats that a peer is ahead. The configuration has its own task, so that
//! it never waits for an answer about endpoints.

use super::snapshot::{FleetSnapshot, SNAPSHOT_PATH};
use crate::clock::BootClock;
use crate::http::HttpClient;
use crate::node::{EntryNode, increment};
use crate::store::{StoreClient, WatchTarget};
use clementinepond_dispatch::peer::FetchSchedule;
use clementinepond_platform::{CONFIGURATION_KIND, CONFIGURATION_NAME, StoreObject};
use clementinepond_types::TimeSpan;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use rand::RngExt;
use std::net::SocketAddrV4;
use std::rc::Rc;
use tokio_util::sync::CancellationToken;

/// Minimum delay, doubled at most by jitter, for a forwarded change or this VM's own watch
/// to arrive before a peer is asked for entries.
const ENTRIES_DELAY: TimeSpan = TimeSpan::from_millis(200);
/// Timeout for the start of the store's answer, after which peers are asked.
const READ_TIMEOUT: TimeSpan = TimeSpan::from_millis(600);
/// Timeout for the start of the answer to a snapshot request.
const SNAPSHOT_TIMEOUT: TimeSpan = TimeSpan::from_millis(1_000);
/// Number of peers from which a snapshot is requested in turn.
const MAX_SOURCES: usize = 3;

/// Fetches the configuration whenever a peer has a newer one, until the VM stops.
pub(crate) async fn fetch_newer_configuration(node: Rc<EntryNode>, stop: CancellationToken) {
    let mut client = StoreClient::new(node.settings().store.address);
    let mut schedule = FetchSchedule::default();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = node.peer_updated.notified() => {}
        }
        if !node.is_peer_ahead(WatchTarget::Configuration) {
            schedule.record_current();
            continue;
        }
        let now = BootClock::now();
        let is_watcher = node.is_watcher(now);
        let draw = rand::rng().random_range(0..1_000);
        tokio::time::sleep(schedule.delay(is_watcher, draw, now).duration()).await;
        let before = node.state.borrow().configuration_version();
        let asks_store = schedule.start(is_watcher, BootClock::now());
        if asks_store && !read_configuration(&node, &mut client).await {
            schedule.record_store_failure(BootClock::now());
        }
        let is_served = fetch_from_peers(&node, WatchTarget::Configuration).await;
        let is_newer = node.state.borrow().configuration_version() > before;
        schedule.finish(is_served, is_newer, BootClock::now());
    }
}

/// Fetches endpoints' entries whenever a peer has newer ones, until the VM stops.
pub(crate) async fn fetch_newer_entries(node: Rc<EntryNode>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = node.peer_updated.notified() => {}
        }
        if !node.is_peer_ahead(WatchTarget::Endpoints) {
            continue;
        }
        let jitter = rand::rng().random_range(100..200);
        tokio::time::sleep(ENTRIES_DELAY.fraction(jitter, 100).duration()).await;
        fetch_from_peers(&node, WatchTarget::Endpoints).await;
    }
}

/// Reads the configuration from the store; returns whether the store answered.
async fn read_configuration(node: &EntryNode, client: &mut StoreClient) -> bool {
    increment(&node.stats.store_calls);
    let read = client.read_within(CONFIGURATION_KIND, CONFIGURATION_NAME, READ_TIMEOUT);
    match read.await {
        Ok(Some(object)) => {
            node.apply_configuration(&object.spec, object.revision, "store");
            true
        }
        Ok(None) => true,
        Err(error) => {
            log::info!("event=configuration_unread error=\"{error}\"");
            false
        }
    }
}

/// Requests a snapshot from peers that are ahead, in turn until one serves it; returns
/// whether one did.
async fn fetch_from_peers(node: &EntryNode, target: WatchTarget) -> bool {
    let mut asked = Vec::new();
    while asked.len() < MAX_SOURCES
        && let Some((vm, address)) = node.newer_peer(target, &asked, BootClock::now())
    {
        if let Some(snapshot) = fetch(node, target, address).await {
            apply(node, snapshot, address);
            return true;
        }
        asked.push(vm);
    }
    false
}

async fn fetch(
    node: &EntryNode,
    target: WatchTarget,
    address: SocketAddrV4,
) -> Option<FleetSnapshot> {
    let path = {
        let state = node.state.borrow();
        match target {
            WatchTarget::Configuration => {
                let version = state.configuration_version();
                format!("{SNAPSHOT_PATH}?configuration={version}")
            }
            WatchTarget::Endpoints => {
                format!("{SNAPSHOT_PATH}?since={}", state.endpoint_revision)
            }
        }
    };
    let mut client = HttpClient::new(address);
    let call = client.call(
        Method::GET,
        &path,
        HeaderMap::new(),
        Vec::new(),
        SNAPSHOT_TIMEOUT,
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
