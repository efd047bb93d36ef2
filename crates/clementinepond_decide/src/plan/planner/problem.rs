//! What the planner is given.

use super::PlannerTuning;
use crate::plan::{ModelVersion, PlacementException};
use clementinepond_types::{AdapterId, EndpointId, MemorySize, ModelId, PriorityClass};
use std::collections::BTreeMap;

/// State of a copy, with every order that may still take effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopyState {
    /// May come to serve.
    Arriving,
    /// Serves for certain.
    Ready,
    /// May cease to serve.
    Leaving,
}

/// One model version on one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HoldingView {
    /// Model.
    pub model: ModelId,
    /// Version.
    pub version: ModelVersion,
    /// State.
    pub state: CopyState,
    /// Memory taken or reserved.
    pub memory: MemorySize,
}

/// One endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// Accelerator memory.
    pub memory: MemorySize,
    /// Memory that may be in use.
    pub possible: MemorySize,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Whether orders may be given now.
    pub accepting: bool,
    /// Models held or on their way.
    pub holdings: Vec<HoldingView>,
    /// Adapters held or on their way.
    pub adapters: BTreeMap<AdapterId, CopyState>,
}

/// What one model needs.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelNeed {
    /// Version that shall serve.
    pub version: ModelVersion,
    /// Memory of one copy.
    pub memory: MemorySize,
    /// Priority when room is short.
    pub priority: PriorityClass,
    /// Load that one copy can carry, in thousandths of an accelerator.
    pub replica_limit: f64,
    /// Copies that must be kept here.
    pub min_copies: u32,
    /// Data centres that come before this one in keeping the model.
    pub rendezvous_rank: usize,
    /// Load to prepare for, in thousandths of an accelerator.
    pub load: f64,
    /// Load that copies are kept for, in thousandths of an accelerator.
    pub recent_peak: f64,
}

/// What one adapter needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdapterNeed {
    /// Model that it extends.
    pub model: ModelId,
    /// Memory of one copy.
    pub memory: MemorySize,
}

/// Loads that may start now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MoveBudget {
    /// Model loads.
    pub loads: u32,
    /// Adapter loads.
    pub adapters: u32,
}

/// What the planner is given.
#[derive(Debug, Clone)]
pub struct PlanProblem {
    /// Endpoints.
    pub endpoints: BTreeMap<EndpointId, EndpointView>,
    /// Hosted models.
    pub models: BTreeMap<ModelId, ModelNeed>,
    /// Hosted adapters.
    pub adapters: BTreeMap<AdapterId, AdapterNeed>,
    /// Exceptions.
    pub exceptions: Vec<PlacementException>,
    /// Loads that may start now.
    pub budget: MoveBudget,
    /// Weights.
    pub tuning: PlannerTuning,
    /// Whether copies that only arrive count as ready; a test's mutation.
    pub arriving_counts_as_ready: bool,
    /// Whether last copies may be unloaded; a test's mutation.
    pub last_copy_unprotected: bool,
}
