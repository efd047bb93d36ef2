//! Capacities of model engines.

use clementinepond_types::{ModelId, TimeSpan};

/// One model that a service offers.
#[derive(Debug, Clone)]
pub struct ModelProfile {
    /// Name.
    pub id: ModelId,
    /// Size of the weights, in megabytes.
    pub weights_mb: f64,
    /// Load time from the weight store.
    pub store_load: TimeSpan,
    /// Load time from the endpoint's host memory.
    pub memory_load: TimeSpan,
    /// Load time from the endpoint's disk.
    pub disk_load: TimeSpan,
    /// Number of adapters.
    pub adapters: u32,
    /// Size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// Engines of one service.
#[derive(Debug, Clone)]
pub struct EnginePolicy {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into an engine's KV cache.
    pub kv_capacity: u64,
    /// Memory for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Largest number of adapters on an engine, including those in transit.
    pub adapter_slots: u32,
    /// Loads a second that the weight store allows over all engines; 0 means no limit.
    pub loads_per_s: f64,
    /// Models on offer.
    pub models: Vec<ModelProfile>,
}

impl EnginePolicy {
    /// Returns the profile of a model.
    #[must_use]
    pub fn model(&self, id: &ModelId) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.id == *id)
    }
}
