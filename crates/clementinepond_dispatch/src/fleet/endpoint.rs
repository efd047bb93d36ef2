//! Endpoints as they describe themselves.

use super::ServiceId;
use clementinepond_types::{AdapterId, DataCentreId, EndpointId, ModelId, TimeSpan};
use std::net::SocketAddrV4;

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// Takes requests.
    Ready,
    /// Finishes what it runs and leaves.
    Draining,
}

/// One model that an endpoint holds.
#[derive(Debug, Clone, PartialEq)]
pub struct HostedModel {
    /// Model.
    pub id: ModelId,
    /// Version of the weights.
    pub version: u64,
    /// Adapters of the model that are loaded.
    pub adapters: Vec<AdapterId>,
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Name of the incarnation.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddrV4,
    /// Data centre.
    pub data_centre: DataCentreId,
    /// Whether it takes new requests.
    pub phase: EndpointPhase,
    /// Requests that run at once.
    pub slots: u32,
    /// Unix time of its start, in milliseconds; tells two lives of one name apart.
    pub started_ms: u64,
    /// Orders accepted in this life, as of the report.
    pub order_count: u64,
    /// Time left before it is taken away, when it was given notice.
    pub time_left: Option<TimeSpan>,
    /// Models it holds.
    pub models: Vec<HostedModel>,
    /// Models with a copy of the weights in host memory.
    pub in_memory: Vec<ModelId>,
    /// Models with a copy of the weights on disk.
    pub on_disk: Vec<ModelId>,
}

impl EndpointEntry {
    /// Returns a model that the endpoint holds.
    #[must_use]
    pub fn hosted(&self, model: &ModelId) -> Option<&HostedModel> {
        self.models.iter().find(|hosted| hosted.id == *model)
    }
}

/// Load that an endpoint reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}
