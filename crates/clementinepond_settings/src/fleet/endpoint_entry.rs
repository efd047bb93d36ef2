//! Endpoints and the routes to plain services.

use clementinepond_types::{DataCentreId, MemorySize, RouteName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an endpoint runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum EndpointKind {
    /// A model engine.
    Engine {
        /// Accelerators of the endpoint.
        accelerators: u32,
        /// Accelerator memory of the endpoint.
        memory_mib: MemorySize,
        /// Whether it refuses orders with an old fencing number.
        checks_fencing: bool,
    },
    /// A plain service.
    Service {
        /// Route that leads to it.
        route: RouteName,
    },
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointEntry {
    /// Data centre of the endpoint.
    pub data_centre: DataCentreId,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// What it runs.
    pub kind: EndpointKind,
    /// Whether it is leaving and gets no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Route to plain services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRoute {
    /// Whether any call may be repeated; GET and HEAD always may.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Tokens that one call counts against the account.
    #[serde(default)]
    pub cost_tokens: u64,
}
