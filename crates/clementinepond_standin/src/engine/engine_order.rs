//! Orders that change what an engine has in memory.

use clementinepond_types::{AdapterId, FencingNumber, MemorySize, ModelId};
use serde::{Deserialize, Serialize};

/// Phases of inference that an engine executes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Processing of prompts only.
    Prefill,
    /// Generation of tokens only.
    Decode,
    /// Both phases.
    #[default]
    Both,
}

/// Change that an order requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads a version of a model.
    LoadModel {
        /// Model to load.
        model: ModelId,
        /// Version to load.
        version: Box<str>,
        /// Memory that the version occupies, in MiB.
        memory_mib: MemorySize,
    },
    /// Unloads a version of a model once no request runs on it.
    UnloadModel {
        /// Model to unload.
        model: ModelId,
        /// Version to unload.
        version: Box<str>,
    },
    /// Loads an adapter.
    LoadAdapter {
        /// Adapter to load.
        adapter: AdapterId,
        /// Model that the adapter extends.
        model: ModelId,
        /// Memory that the adapter occupies, in MiB.
        memory_mib: MemorySize,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// Adapter to unload.
        adapter: AdapterId,
    },
    /// Sets the role; the stand-in stores it without further effect.
    SetRole {
        /// Role to set.
        role: EngineRole,
    },
}

/// Order of a lease holder to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Number of the order; an order is applied at most once per incarnation.
    pub order: u64,
    /// Fencing number of the lease holder that sends the order.
    pub fencing_number: FencingNumber,
    /// Time that the sender had left to send the order, in milliseconds; the
    /// stand-in does not enforce it.
    pub time_left_ms: u64,
    /// Requested change.
    pub action: OrderAction,
}
