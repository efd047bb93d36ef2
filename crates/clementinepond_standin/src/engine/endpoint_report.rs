//! What an endpoint reports.

use super::engine_memory::ModelState;
use clementinepond_types::{AdapterId, EndpointId, FencingNumber, MemorySize, ModelId};
use serde::{Deserialize, Serialize};

/// One model in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedModel {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the model.
    pub version: Box<str>,
    /// State of the model.
    pub state: ModelState,
    /// Memory it takes.
    pub memory_mib: MemorySize,
}

/// One adapter in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedAdapter {
    /// Name of the adapter.
    pub adapter: AdapterId,
    /// Model that it extends.
    pub model: ModelId,
}

/// Report of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Changes when the endpoint restarts.
    pub incarnation: u64,
    /// Grows with each report.
    pub report_number: u64,
    /// Number of the last order applied.
    pub last_order: u64,
    /// Accelerator memory.
    pub memory_mib: MemorySize,
    /// Memory in use.
    pub used_mib: MemorySize,
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Whether the endpoint leaves.
    pub draining: bool,
    /// Largest fencing number seen.
    pub fencing_number: FencingNumber,
    /// Models in memory.
    pub models: Vec<ReportedModel>,
    /// Adapters in memory.
    pub adapters: Vec<ReportedAdapter>,
}
