//! Client for calls to endpoints.

use super::attempt::Attempt;
use crate::clock::LocalClock;
use crate::http::{HttpClient, new_client, send};
use crate::node::{CallerCall, NodeHandle};
use bytes::Bytes;
use clementinepond_decide::request::DispatchOrder;
use clementinepond_settings::vm::EndpointSettings;
use clementinepond_types::{EndpointId, RequestId};
use http_body_util::Full;
use hyper::{Method, Request};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// Address and kind of an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointAddress {
    pub(crate) address: SocketAddr,
    /// Whether the endpoint is a model engine. Only engines are polled for cache events, since a
    /// service would run the call as a request.
    pub(crate) is_engine: bool,
}

/// Addresses of the configured endpoints, by name.
pub(crate) type EndpointAddresses = BTreeMap<EndpointId, EndpointAddress>;

/// Clients, settings and addresses for calls to endpoints.
#[derive(Debug, Clone)]
pub(crate) struct EndpointClient {
    pub(crate) clock: LocalClock,
    pub(crate) settings: EndpointSettings,
    pub(crate) pooled_client: HttpClient,
    /// Client that opens a new connection for each call, for calls that must not run
    /// twice.
    pub(crate) unpooled_client: HttpClient,
    pub(crate) addresses: watch::Receiver<Arc<EndpointAddresses>>,
}

impl EndpointClient {
    pub(crate) fn new(
        clock: LocalClock,
        settings: EndpointSettings,
        addresses: watch::Receiver<Arc<EndpointAddresses>>,
    ) -> Self {
        Self {
            clock,
            pooled_client: new_client(settings.connect_timeout),
            unpooled_client: crate::http::new_unpooled_client(settings.connect_timeout),
            settings,
            addresses,
        }
    }

    pub(crate) fn address(&self, endpoint: &EndpointId) -> Option<SocketAddr> {
        let addresses = self.addresses.borrow();
        addresses.get(endpoint).map(|entry| entry.address)
    }

    /// Returns whether an endpoint is a model engine, which reports cache events.
    pub(crate) fn is_engine(&self, endpoint: &EndpointId) -> bool {
        let addresses = self.addresses.borrow();
        addresses.get(endpoint).is_some_and(|entry| entry.is_engine)
    }

    /// Starts an attempt in its own task.
    pub(crate) fn start_attempt(&self, order: DispatchOrder, call: &CallerCall, node: &NodeHandle) {
        let attempt = Attempt {
            client: self.clone(),
            order,
            body: Arc::clone(&call.body),
            messages: call.messages.clone(),
            cancellation: call.cancellation.clone(),
            node: node.clone(),
            spans: call.spans.clone(),
        };
        tokio::spawn(attempt.run());
    }

    /// Requests that an endpoint cancels a request, in its own task.
    pub(crate) fn cancel(&self, endpoint: EndpointId, request_id: RequestId) {
        let client = self.clone();
        tokio::spawn(async move {
            let Some(address) = client.address(&endpoint) else {
                return;
            };
            let uri = format!("http://{address}/v1/requests/{request_id}");
            let request = Request::builder()
                .method(Method::DELETE)
                .uri(uri)
                .body(Full::new(Bytes::new()));
            let Ok(request) = request else {
                return;
            };
            let timeout = client.settings.connect_timeout;
            if let Err(error) = send(&client.pooled_client, request, timeout).await {
                log::info!(
                    "event=cancel_failed endpoint={endpoint} request={request_id} error=\"{error}\""
                );
            }
        });
    }
}
