//! Endpoints and routes to plain services.

use clementinepond_types::{DataCentreId, MemorySize, RouteName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Kind of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EndpointKind {
    /// Model engine.
    Engine {
        /// Number of accelerators of the endpoint.
        accelerators: u32,
        /// Accelerator memory of the endpoint.
        memory_mib: MemorySize,
        /// Whether the endpoint refuses orders with an outdated fencing number.
        checks_fencing: bool,
    },
    /// Plain service.
    Service {
        /// Route whose requests the service handles.
        route: RouteName,
    },
}

/// Entry of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// Data centre of the endpoint.
    pub data_centre: DataCentreId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Whether the endpoint is being removed and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Route to plain services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRoute {
    /// Whether all calls may be retried; safe methods such as GET and HEAD always may.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether callers may omit the API key.
    #[serde(default)]
    pub open: bool,
    /// Number of tokens that a call counts against the limits of the account.
    #[serde(default)]
    pub cost_tokens: u64,
}
