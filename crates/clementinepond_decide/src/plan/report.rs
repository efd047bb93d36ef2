//! Reports of endpoints, in the form that engines send.

use super::OrderNumber;
use clementinepond_types::{AdapterId, EndpointId, FencingNumber, MemorySize, ModelId};
use derive_more::{Display, From};
use serde::{Deserialize, Serialize};
use serde_with::SerializeDisplay;

/// Version of a model's weights.
#[derive(
    Debug, Display, From, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
#[from(Box<str>, &str)]
pub struct ModelVersion(Box<str>);

/// Identity of one run of an endpoint's process; values have no order in time.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Wraps the engine's value.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the engine's value.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Number of a report; increases within one incarnation.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReportNumber(u64);

impl ReportNumber {
    /// Wraps the engine's value.
    #[must_use]
    pub const fn new(value: u64) -> Self {
        Self(value)
    }

    /// Returns the engine's value.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

/// Model version or adapter that takes memory on an endpoint.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord, SerializeDisplay)]
pub enum HoldingKey {
    /// A model version.
    #[display("model:{_0}@{_1}")]
    Model(ModelId, ModelVersion),
    /// An adapter.
    #[display("adapter:{_0}")]
    Adapter(AdapterId),
}

/// State of a model on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ModelState {
    /// The weights are being loaded.
    Loading,
    /// The model serves requests.
    Ready,
    /// Running requests are finished and no new ones are accepted.
    Draining,
}

/// Model version listed in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelReport {
    /// Model held.
    pub model: ModelId,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Whether the model is loading, ready or draining.
    pub state: ModelState,
    /// Memory used.
    pub memory_mib: MemorySize,
}

/// Adapter listed in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterReport {
    /// Adapter held.
    pub adapter: AdapterId,
    /// Model that the adapter extends.
    pub model: ModelId,
}

/// State of an endpoint as it reports it; may lag behind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Endpoint that sent the report.
    pub endpoint: EndpointId,
    /// Identity of the run of the endpoint's process.
    pub incarnation: Incarnation,
    /// Number of the report.
    pub report_number: ReportNumber,
    /// Number of the last order applied; zero for none.
    pub last_order: OrderNumber,
    /// Accelerator memory in total.
    pub memory_mib: MemorySize,
    /// Memory in use.
    pub used_mib: MemorySize,
    /// Whether the endpoint is shutting down.
    #[serde(default)]
    pub draining: bool,
    /// Largest fencing number that the endpoint has seen; zero for none.
    pub fencing_number: FencingNumber,
    /// Models held.
    #[serde(default)]
    pub models: Vec<ModelReport>,
    /// Adapters held.
    #[serde(default)]
    pub adapters: Vec<AdapterReport>,
}

impl EndpointReport {
    /// Returns whether the report lists the model version or adapter, in any state.
    #[must_use]
    pub fn lists(&self, key: &HoldingKey) -> bool {
        match key {
            HoldingKey::Model(model, version) => self
                .models
                .iter()
                .any(|entry| entry.model == *model && entry.version == *version),
            HoldingKey::Adapter(adapter) => {
                self.adapters.iter().any(|entry| entry.adapter == *adapter)
            }
        }
    }
}
