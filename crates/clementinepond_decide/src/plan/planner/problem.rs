//! Input of the planner.

use super::PlannerTuning;
use crate::plan::{ModelVersion, PlacementException};
use clementinepond_types::{AdapterId, EndpointId, MemorySize, ModelId, PriorityClass};
use std::collections::BTreeMap;

/// State of a copy, taking into account every order that may still take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyState {
    /// May become ready.
    Arriving,
    /// Ready, with no unload pending.
    Ready,
    /// May stop serving.
    Leaving,
}

/// Model version that an endpoint holds or may load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldingView {
    /// Model held.
    pub model: ModelId,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Whether the copy is arriving, ready or leaving.
    pub state: CopyState,
    /// Memory used or reserved.
    pub memory: MemorySize,
}

/// Endpoint as the planner sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// Accelerator memory in total.
    pub memory: MemorySize,
    /// Upper bound of the memory in use, including loads that may still take effect.
    pub possible: MemorySize,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether orders may be sent to it now.
    pub accepting: bool,
    /// Models held or being loaded.
    pub holdings: Vec<HoldingView>,
    /// Adapters held or being loaded.
    pub adapters: BTreeMap<AdapterId, CopyState>,
}

/// Requirements of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelNeed {
    /// Version to serve.
    pub version: ModelVersion,
    /// Memory of one copy.
    pub memory: MemorySize,
    /// Priority when memory is short; the larger value is placed first.
    pub priority: PriorityClass,
    /// Load that one copy can carry, in thousandths of an accelerator.
    pub replica_limit: f64,
    /// Smallest number of copies to keep in this data centre, before exceptions.
    pub min_copies: u32,
    /// Number of data centres that come before this one in the model's rendezvous
    /// order; zero for the first.
    pub rendezvous_rank: usize,
    /// Forecast load, in thousandths of an accelerator.
    pub load: f64,
    /// Recent peak of the load, decaying, in thousandths of an accelerator.
    pub recent_peak: f64,
}

/// Requirements of one adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdapterNeed {
    /// Model that the adapter extends.
    pub model: ModelId,
    /// Memory of one copy.
    pub memory: MemorySize,
}

/// Number of loads that may start now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MoveBudget {
    /// Number of model loads.
    pub loads: u32,
    /// Number of adapter loads.
    pub adapters: u32,
}

/// Input of the planner.
#[derive(Debug, Clone)]
pub struct PlanProblem {
    /// Endpoints with a known report.
    pub endpoints: BTreeMap<EndpointId, EndpointView>,
    /// Requirements of each hosted model.
    pub models: BTreeMap<ModelId, ModelNeed>,
    /// Requirements of each hosted adapter.
    pub adapters: BTreeMap<AdapterId, AdapterNeed>,
    /// Operators' departures from the defaults.
    pub exceptions: Vec<PlacementException>,
    /// Number of loads that may start now.
    pub budget: MoveBudget,
    /// Weights and limits of the planner.
    pub tuning: PlannerTuning,
    /// Whether arriving copies count as ready; set only by tests that remove a guard.
    pub arriving_counts_as_ready: bool,
    /// Whether last copies may be unloaded; set only by tests that remove a guard.
    pub last_copy_unprotected: bool,
}
