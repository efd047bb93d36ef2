//! Orders to an engine.

use clementinepond_types::{AdapterId, FencingNumber, MemorySize, ModelId};
use serde::{Deserialize, Serialize};

/// Part of serving that an engine takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Does both.
    #[default]
    Both,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a version of a model.
    LoadModel {
        /// Name of the model.
        model: ModelId,
        /// Version of the model.
        version: Box<str>,
        /// Memory it takes.
        memory_mib: MemorySize,
    },
    /// Unload a version of a model once it runs nothing.
    UnloadModel {
        /// Name of the model.
        model: ModelId,
        /// Version of the model.
        version: Box<str>,
    },
    /// Load an adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: AdapterId,
        /// Model that it extends.
        model: ModelId,
        /// Memory it takes.
        memory_mib: MemorySize,
    },
    /// Unload an adapter.
    UnloadAdapter {
        /// Name of the adapter.
        adapter: AdapterId,
    },
    /// Change the role.
    SetRole {
        /// The new role.
        role: EngineRole,
    },
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Number of the order; the same number is applied once.
    pub order: u64,
    /// Fencing number of the plan holder.
    pub fencing_number: FencingNumber,
    /// Time that was left to send the order, in milliseconds.
    pub time_left_ms: u64,
    /// What is asked for.
    pub action: OrderAction,
}
