//! What the planner returns.

use crate::plan::EndpointAction;
use clementinepond_types::{AdapterId, EndpointId, ModelId};
use derive_more::Display;
use serde::Serialize;

/// Why a move is made.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum MoveReason {
    /// The model has too few copies.
    #[display("required: the model has {found} of {required} copies")]
    Required {
        /// Copies there are.
        found: usize,
        /// Copies there must be.
        required: u32,
    },
    /// An exception asks for it.
    #[display("exception: {_0}")]
    Exception(Box<str>),
    /// The model's version changes.
    #[display("version change")]
    Version,
    /// Demand is not met.
    #[display("demand: serves {gain} more mAcc")]
    Demand {
        /// Load served besides.
        gain: u64,
    },
    /// Room is free.
    #[display("free room")]
    FreeMemory,
    /// The room is needed.
    #[display("room for {_0}")]
    MemoryFor(ModelId),
    /// The copy lets another copy make room.
    #[display("stepping stone for {_0}")]
    Relocation(ModelId),
    /// The model or adapter is hosted no more.
    #[display("no longer hosted")]
    NotHosted,
    /// The adapter shall be beside its model.
    #[display("adapter beside its model")]
    BesideModel,
}

/// One move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// Endpoint that is changed.
    pub endpoint: EndpointId,
    /// Change.
    pub action: EndpointAction,
    /// Why.
    pub reason: MoveReason,
}

/// Why something could not be placed.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnplacedReason {
    /// No endpoint takes orders now.
    #[display("no endpoint takes orders; check that endpoints are listed and report")]
    NoEndpoint,
    /// No endpoint is large enough.
    #[display(
        "needs {needed_mib} MiB with its adapters, the largest allowed endpoint has {largest_mib} MiB; add a larger endpoint or lift an exception"
    )]
    TooLarge {
        /// Memory of one copy with its adapters.
        needed_mib: u64,
        /// Largest endpoint that is allowed.
        largest_mib: u64,
    },
    /// Everything else on every endpoint must stay.
    #[display("no room, also with a stepping stone; add an endpoint, unpin a model or host fewer")]
    NoRoom,
    /// The adapter's model has no copy with room beside it.
    #[display("no ready copy of {model} has room beside it; wait for the model or add memory")]
    NoModel {
        /// Model of the adapter.
        model: ModelId,
    },
}

/// Something that could not be placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UnplacedItem {
    /// Model that lacks a copy.
    pub model: Option<ModelId>,
    /// Adapter that lacks a copy.
    pub adapter: Option<AdapterId>,
    /// Why.
    pub reason: UnplacedReason,
}

/// What the planner returns.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlanOutcome {
    /// Moves to make now, the most useful first.
    pub moves: Vec<PlannedMove>,
    /// Moves that wait for room or for the weight store.
    pub goals: Vec<PlannedMove>,
    /// What could not be placed.
    pub unplaced: Vec<UnplacedItem>,
}
