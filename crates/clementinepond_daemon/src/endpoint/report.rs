//! Polling of endpoint reports and cache events.

use super::EndpointClient;
use super::attempt::uri;
use crate::http::{read_json, send};
use crate::node::NodeHandle;
use bytes::Bytes;
use clementinepond_decide::node::{EndpointObservation, NodeEvent};
use clementinepond_decide::plan::EndpointReport;
use clementinepond_decide::route::PrefixHash;
use clementinepond_types::{EndpointId, TimeSpan};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// JSON body of an endpoint report.
#[derive(Debug, Deserialize)]
struct ReportBody {
    #[serde(flatten)]
    report: EndpointReport,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queued: u32,
}

/// JSON body of a page of cache events.
#[derive(Debug, Deserialize)]
struct CachePage {
    next: u64,
    events: Vec<CacheEvent>,
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    sequence: u64,
    op: CacheOperation,
    prefix: Box<str>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum CacheOperation {
    Stored,
    Evicted,
}

/// Polls the reports and cache events of all endpoints until the token is cancelled.
pub(crate) async fn poll_reports(
    client: EndpointClient,
    node: NodeHandle,
    cancellation: CancellationToken,
) {
    let mut ticks = tokio::time::interval(client.settings.report_interval.duration());
    let mut positions: BTreeMap<EndpointId, u64> = BTreeMap::new();
    loop {
        tokio::select! {
            () = cancellation.cancelled() => return,
            _ = ticks.tick() => poll_all(&client, &node, &mut positions).await,
        }
    }
}

async fn poll_all(
    client: &EndpointClient,
    node: &NodeHandle,
    positions: &mut BTreeMap<EndpointId, u64>,
) {
    let endpoints: Vec<EndpointId> = client.addresses.borrow().keys().cloned().collect();
    positions.retain(|endpoint, _| endpoints.contains(endpoint));
    let mut polls = JoinSet::new();
    for endpoint in endpoints {
        let position = positions.get(&endpoint).copied().unwrap_or(0);
        polls.spawn(poll_endpoint(
            client.clone(),
            node.clone(),
            endpoint,
            position,
        ));
    }
    while let Some(poll) = polls.join_next().await {
        if let Ok((endpoint, position)) = poll {
            positions.insert(endpoint, position);
        }
    }
}

async fn poll_endpoint(
    client: EndpointClient,
    node: NodeHandle,
    endpoint: EndpointId,
    position: u64,
) -> (EndpointId, u64) {
    let requested_at = client.clock.now();
    if let Some(body) = fetch::<ReportBody>(&client, &endpoint, "/report").await {
        let observation = EndpointObservation {
            report: body.report,
            running: body.running,
            queued: body.queued,
            requested_at,
        };
        node.send_event(NodeEvent::EndpointReported {
            endpoint: endpoint.clone(),
            observation: Box::new(observation),
        });
    }
    if !client.is_engine(&endpoint) {
        return (endpoint, position);
    }
    let path = format!("/cache-events?from={position}&wait-ms=0");
    let Some(page) = fetch::<CachePage>(&client, &endpoint, &path).await else {
        return (endpoint, position);
    };
    for event in page.events {
        let Ok(hash) = u64::from_str_radix(&event.prefix, 16) else {
            continue;
        };
        node.send_event(NodeEvent::CacheChanged {
            endpoint: endpoint.clone(),
            sequence: event.sequence,
            prefix: PrefixHash::new(hash),
            stored: event.op == CacheOperation::Stored,
        });
    }
    (endpoint, page.next)
}

async fn fetch<T: DeserializeOwned>(
    client: &EndpointClient,
    endpoint: &EndpointId,
    path: &str,
) -> Option<T> {
    let address = client.address(endpoint)?;
    let request = Request::builder()
        .uri(uri(address, path))
        .body(Full::new(Bytes::new()))
        .ok()?;
    let timeout: TimeSpan = client.settings.connect_timeout;
    let response = send(&client.pooled_client, request, timeout).await.ok()?;
    if response.status() != StatusCode::OK {
        return None;
    }
    read_json(response, timeout).await.ok()
}
