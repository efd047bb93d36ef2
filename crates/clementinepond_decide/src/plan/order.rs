//! Orders to endpoints.

use super::{HoldingKey, ModelVersion};
use clementinepond_types::{AdapterId, FencingNumber, MemorySize, ModelId};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Bits of an order number below the fencing number.
const COUNTER_BITS: u32 = 24;

/// Number of one order; grows for each endpoint, over all holders.
#[derive(
    Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct OrderNumber(u64);

impl OrderNumber {
    /// Wraps a plain number.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the plain number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the first number of a fencing number.
    #[must_use]
    pub const fn first_of(fencing: FencingNumber) -> Self {
        Self(fencing.get() << COUNTER_BITS)
    }

    /// Returns the number that follows.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Part that an endpoint takes in serving a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointRole {
    /// Reads prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Does both.
    #[default]
    Both,
}

/// What an order asks of an endpoint, in the engines' own form.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointAction {
    /// Loads a model version.
    LoadModel {
        /// Model to load.
        model: ModelId,
        /// Version to load.
        version: ModelVersion,
        /// Memory that it takes.
        memory_mib: MemorySize,
    },
    /// Drains and unloads a model version.
    UnloadModel {
        /// Model to unload.
        model: ModelId,
        /// Version to unload.
        version: ModelVersion,
    },
    /// Loads an adapter beside its model.
    LoadAdapter {
        /// Adapter to load.
        adapter: AdapterId,
        /// Model that it extends.
        model: ModelId,
        /// Memory that it takes.
        memory_mib: MemorySize,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// Adapter to unload.
        adapter: AdapterId,
    },
    /// Sets the role.
    SetRole {
        /// New role.
        role: EndpointRole,
    },
}

impl EndpointAction {
    /// Returns what a load would add, and its memory.
    #[must_use]
    pub fn loaded(&self) -> Option<(HoldingKey, MemorySize)> {
        match self {
            Self::LoadModel {
                model,
                version,
                memory_mib,
            } => Some((
                HoldingKey::Model(model.clone(), version.clone()),
                *memory_mib,
            )),
            Self::LoadAdapter {
                adapter,
                memory_mib,
                ..
            } => Some((HoldingKey::Adapter(adapter.clone()), *memory_mib)),
            _ => None,
        }
    }

    /// Returns what an unload would remove.
    #[must_use]
    pub fn unloaded(&self) -> Option<HoldingKey> {
        match self {
            Self::UnloadModel { model, version } => {
                Some(HoldingKey::Model(model.clone(), version.clone()))
            }
            Self::UnloadAdapter { adapter } => Some(HoldingKey::Adapter(adapter.clone())),
            _ => None,
        }
    }
}
