//! Endpoints as described by their entries in the store.

use super::{ServiceId, SoftwareVersion};
use clementinepond_types::{AdapterId, DataCentreId, EndpointId, ModelId, TimeSpan};
use std::net::SocketAddrV4;

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// The endpoint takes requests.
    Ready,
    /// The endpoint finishes its running requests and leaves.
    Draining,
}

/// Model that an endpoint holds.
#[derive(Debug, Clone, PartialEq)]
pub struct HostedModel {
    /// Model ID.
    pub id: ModelId,
    /// Version of the weights.
    pub version: u64,
    /// Loaded adapters of the model.
    pub adapters: Vec<AdapterId>,
}

/// Entry of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Endpoint ID.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddrV4,
    /// Data centre of the endpoint.
    pub data_centre: DataCentreId,
    /// Version of the endpoint's software.
    pub software: SoftwareVersion,
    /// Whether the endpoint takes new requests.
    pub phase: EndpointPhase,
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Start of the incarnation, as a Unix time in milliseconds; distinguishes
    /// incarnations with the same ID.
    pub started_ms: u64,
    /// Number of orders accepted in this incarnation when the entry was written.
    pub order_count: u64,
    /// Time left before the endpoint is removed; `None` without advance notice.
    pub time_left: Option<TimeSpan>,
    /// Models that the endpoint holds.
    pub models: Vec<HostedModel>,
    /// Models whose weights are in host memory.
    pub in_memory: Vec<ModelId>,
    /// Models whose weights are on disk.
    pub on_disk: Vec<ModelId>,
}

impl EndpointEntry {
    /// Returns a model if the endpoint holds it.
    #[must_use]
    pub fn hosted(&self, model: &ModelId) -> Option<&HostedModel> {
        self.models.iter().find(|hosted| hosted.id == *model)
    }
}

/// Load that an endpoint reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
}
