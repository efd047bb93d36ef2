//! Report of an engine on its load and on the contents of its memory.

use super::engine_memory::ModelState;
use clementinepond_types::{AdapterId, EndpointId, FencingNumber, MemorySize, ModelId};
use serde::{Deserialize, Serialize};

/// Version of a model in memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedModel {
    /// Model that is loaded.
    pub model: ModelId,
    /// Loaded version of the model.
    pub version: Box<str>,
    /// Whether the version is loading, ready or draining.
    pub state: ModelState,
    /// Memory that the version occupies, in MiB.
    pub memory_mib: MemorySize,
}

/// Adapter in memory that is ready to serve.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedAdapter {
    /// Adapter that is loaded.
    pub adapter: AdapterId,
    /// Model that the adapter extends.
    pub model: ModelId,
}

/// Report of an engine; it may be as old as the configured report lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Endpoint that reports.
    pub endpoint: EndpointId,
    /// Number of the endpoint process, which grows with each restart.
    pub incarnation: u64,
    /// Number of the report within the incarnation, from 1.
    pub report_number: u64,
    /// Number of the order applied last; 0 if none was applied.
    pub last_order: u64,
    /// Total accelerator memory, in MiB.
    pub memory_mib: MemorySize,
    /// Memory that models and adapters occupy, in MiB.
    pub used_mib: MemorySize,
    /// Number of requests that occupy a slot of the batch.
    pub running: u64,
    /// Number of requests that wait for a slot.
    pub queued: u64,
    /// Whether the endpoint is being drained.
    pub draining: bool,
    /// Largest fencing number received in an order.
    pub fencing_number: FencingNumber,
    /// Models in memory, whatever their state.
    pub models: Vec<ReportedModel>,
    /// Adapters that are ready.
    pub adapters: Vec<ReportedAdapter>,
}
