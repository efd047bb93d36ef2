//! Capacities of model engines.

use clementinepond_types::{ModelId, TimeSpan};

/// Model that a service offers.
#[derive(Debug, Clone)]
pub struct ModelProfile {
    /// Model ID.
    pub id: ModelId,
    /// Size of the weights, in megabytes.
    pub weights_mb: f64,
    /// Load time from the weight store.
    pub store_load: TimeSpan,
    /// Load time from the endpoint's host memory.
    pub memory_load: TimeSpan,
    /// Load time from the endpoint's disk.
    pub disk_load: TimeSpan,
    /// Number of adapters of the model.
    pub adapters: u32,
    /// Size of one adapter, in megabytes.
    pub adapter_mb: f64,
}

/// Engine settings of one service.
#[derive(Debug, Clone)]
pub struct EnginePolicy {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_capacity: u64,
    /// Memory for weights and adapters, in megabytes.
    pub weights_mb: f64,
    /// Maximum number of adapters on an engine, including those being loaded or
    /// unloaded.
    pub adapter_slots: u32,
    /// Loads per second that the weight store allows over all engines; 0 means no
    /// limit.
    pub loads_per_s: f64,
    /// Models that the service offers.
    pub models: Vec<ModelProfile>,
}

impl EnginePolicy {
    /// Returns the profile of a model.
    #[must_use]
    pub fn model(&self, id: &ModelId) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.id == *id)
    }
}
