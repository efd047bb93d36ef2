//! Orders to endpoints.

use super::{HoldingKey, ModelVersion};
use clementinepond_types::{AdapterId, FencingNumber, MemorySize, ModelId};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Low bits of an order number, which count the orders of one fencing number.
const COUNTER_BITS: u32 = 24;

/// Number of an order; increases for each endpoint, also across lease holders.
#[derive(
    Debug, Display, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct OrderNumber(u64);

impl OrderNumber {
    /// Creates an order number from its integer value.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the integer value.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the first order number under a fencing number.
    #[must_use]
    pub const fn first_of(fencing: FencingNumber) -> Self {
        Self(fencing.get() << COUNTER_BITS)
    }

    /// Returns the next order number.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// Phases of a request that an endpoint serves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointRole {
    /// Processes prompts.
    Prefill,
    /// Generates tokens.
    Decode,
    /// Processes prompts and generates tokens.
    #[default]
    Both,
}

/// Action that an order requests, in the form that engines accept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointAction {
    /// Loads a model version.
    LoadModel {
        /// Model to load.
        model: ModelId,
        /// Version to load.
        version: ModelVersion,
        /// Memory that one copy takes.
        memory_mib: MemorySize,
    },
    /// Drains and unloads a model version.
    UnloadModel {
        /// Model to unload.
        model: ModelId,
        /// Version to unload.
        version: ModelVersion,
    },
    /// Loads an adapter on an endpoint that holds its model.
    LoadAdapter {
        /// Adapter to load.
        adapter: AdapterId,
        /// Model that the adapter extends.
        model: ModelId,
        /// Memory that one copy takes.
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
    /// Returns the key and memory that a load would add; none for other actions.
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

    /// Returns the key that an unload would remove; none for other actions.
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
