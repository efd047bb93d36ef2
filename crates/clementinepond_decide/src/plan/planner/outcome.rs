//! Moves, goals and unplaced items: the result of a plan.

use crate::plan::EndpointAction;
use clementinepond_types::{AdapterId, EndpointId, ModelId};
use derive_more::Display;
use serde::Serialize;

/// Reason for a move; its text is stored with the order and shown to operators.
#[derive(Debug, Display, Clone, PartialEq, Eq)]
pub enum MoveReason {
    /// The model has fewer copies than required.
    #[display("required: the model has {found} of {required} copies")]
    Required {
        /// Number of copies found.
        found: usize,
        /// Number of copies required.
        required: u32,
    },
    /// An exception requires it, for the given reason.
    #[display("exception: {_0}")]
    Exception(Box<str>),
    /// The model changes to another version.
    #[display("version change")]
    Version,
    /// Part of the expected load is unserved.
    #[display("demand: serves {gain} more mAcc")]
    Demand {
        /// Additional load served, in thousandths of an accelerator.
        gain: u64,
    },
    /// The copy uses memory that is free.
    #[display("free room")]
    FreeMemory,
    /// The copy is unloaded to free memory for the given model.
    #[display("room for {_0}")]
    MemoryFor(ModelId),
    /// The new copy lets another copy be unloaded, to free memory for the given
    /// model.
    #[display("stepping stone for {_0}")]
    Relocation(ModelId),
    /// The model or adapter is no longer hosted, or the adapter's endpoint no
    /// longer holds its model.
    #[display("no longer hosted")]
    NotHosted,
    /// The adapter is loaded on an endpoint that holds its model.
    #[display("adapter beside its model")]
    BesideModel,
}

/// Change to one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedMove {
    /// Endpoint to change.
    pub endpoint: EndpointId,
    /// Load or unload to order.
    pub action: EndpointAction,
    /// Reason for the change.
    pub reason: MoveReason,
}

/// Reason why a model or adapter could not be placed.
#[derive(Debug, Display, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnplacedReason {
    /// No allowed endpoint accepts orders.
    #[display(
        "no allowed endpoint accepts orders; check that endpoints are listed and send reports, or lift an exception"
    )]
    NoEndpoint,
    /// The largest allowed endpoint is too small for a copy.
    #[display(
        "needs {needed_mib} MiB with its adapters, the largest allowed endpoint has {largest_mib} MiB; add a larger endpoint or lift an exception"
    )]
    TooLarge {
        /// Memory of one copy with its adapters, in MiB.
        needed_mib: u64,
        /// Memory of the largest allowed endpoint, in MiB.
        largest_mib: u64,
    },
    /// No endpoint has enough memory that is free or can be freed, also by
    /// relocating other copies.
    #[display(
        "no endpoint can free enough memory, also by relocating other copies; add an endpoint, unpin a model or host fewer models"
    )]
    NoRoom,
    /// No endpoint with a ready copy of the model has free memory for the adapter.
    #[display(
        "no endpoint with a ready copy of {model} has free memory for the adapter; wait for the model or add memory"
    )]
    NoModel {
        /// Model that the adapter extends.
        model: ModelId,
    },
}

/// Model or adapter that could not be placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UnplacedItem {
    /// Model that lacks a copy; none for an adapter.
    pub model: Option<ModelId>,
    /// Adapter that lacks a copy; none for a model.
    pub adapter: Option<AdapterId>,
    /// Reason, with the remedy.
    pub reason: UnplacedReason,
}

/// Result of a plan.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlanOutcome {
    /// Moves to start now, in the order of the planner's stages.
    pub moves: Vec<PlannedMove>,
    /// Loads that wait for free memory or for the weight store.
    pub goals: Vec<PlannedMove>,
    /// Models and adapters that could not be placed.
    pub unplaced: Vec<UnplacedItem>,
}
