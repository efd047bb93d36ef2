//! What the choice of moves looks at.

use clementinepond_types::{EndpointId, ModelId, TimeSpan};

/// One engine.
#[derive(Debug, Clone)]
pub struct EngineView {
    /// Name.
    pub id: EndpointId,
    /// Whether it serves and takes orders.
    pub is_usable: bool,
    /// Whether a move is under way there.
    pub is_moving: bool,
    /// Memory that stays free even if all pending orders succeed, in megabytes.
    pub free_mb: f64,
    /// Models that it serves: index into the models, and age of the copy.
    pub models: Vec<(usize, TimeSpan)>,
    /// Models that it may come to hold, served ones included.
    pub possible: Vec<usize>,
    /// Models with weights in its host memory.
    pub in_memory: Vec<usize>,
    /// Models with weights on its disk.
    pub on_disk: Vec<usize>,
}

/// One model.
#[derive(Debug, Clone)]
pub struct ModelView {
    /// Name.
    pub id: ModelId,
    /// Size, in megabytes.
    pub weights_mb: f64,
    /// Engines that its demand keeps busy.
    pub utilization: f64,
    /// Whether there is demand for it.
    pub has_demand: bool,
    /// Whether a model without a copy is expected to return without a load.
    pub is_return_expected: bool,
    /// Load time from the weight store, from disk and from host memory.
    pub load_times: [TimeSpan; 3],
}

/// Engines and models of one service.
#[derive(Debug, Clone, Default)]
pub struct PlacementView {
    /// Engines.
    pub engines: Vec<EngineView>,
    /// Models.
    pub models: Vec<ModelView>,
    /// Whether a load from the weight store may begin now.
    pub may_load_from_store: bool,
}
