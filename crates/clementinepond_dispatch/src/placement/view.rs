//! Snapshot of engines and models from which moves are selected.

use clementinepond_types::{EndpointId, ModelId, TimeSpan};

/// State of one engine.
#[derive(Debug, Clone)]
pub struct EngineView {
    /// Endpoint ID of the engine.
    pub id: EndpointId,
    /// Whether the engine takes requests and orders.
    pub is_usable: bool,
    /// Whether a move or a model load or unload is in progress, or the engine's status
    /// must be read first.
    pub is_moving: bool,
    /// Memory that stays free even if all pending loads succeed and all adapter slots
    /// are taken, in megabytes.
    pub free_mb: f64,
    /// Models that the engine's entry lists and that are not about to be unloaded, as
    /// index into the models and age of the copy.
    pub models: Vec<(usize, TimeSpan)>,
    /// Models that the engine holds or may come to hold, without those about to be
    /// unloaded.
    pub possible: Vec<usize>,
    /// Models whose weights are in host memory.
    pub in_memory: Vec<usize>,
    /// Models whose weights are on disk.
    pub on_disk: Vec<usize>,
}

/// State of one model.
#[derive(Debug, Clone)]
pub struct ModelView {
    /// Model ID.
    pub id: ModelId,
    /// Size of the weights, in megabytes.
    pub weights_mb: f64,
    /// Number of engines that the model's demand keeps busy.
    pub utilization: f64,
    /// Whether there is demand for the model.
    pub has_demand: bool,
    /// Whether a model without a copy is expected to reappear without a load.
    pub is_return_expected: bool,
    /// Load times from the weight store, from disk and from host memory.
    pub load_times: [TimeSpan; 3],
}

/// Engines and models of one service.
#[derive(Debug, Clone, Default)]
pub struct PlacementView {
    /// Engines of the service.
    pub engines: Vec<EngineView>,
    /// Models of the service.
    pub models: Vec<ModelView>,
    /// Whether a load from the weight store may start now.
    pub may_load_from_store: bool,
}
