//! Reports of endpoints, in the form in which engines send them.

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

/// Identity of one run of an endpoint's process; only equality has a meaning.
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

/// Number of a report within one incarnation.
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

/// Something that takes memory on an endpoint.
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
    /// Weights are being read.
    Loading,
    /// Requests are served.
    Ready,
    /// Running requests end; no new ones start.
    Draining,
}

/// One model in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelReport {
    /// Model.
    pub model: ModelId,
    /// Version of the weights.
    pub version: ModelVersion,
    /// State.
    pub state: ModelState,
    /// Memory taken.
    pub memory_mib: MemorySize,
}

/// One adapter in a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterReport {
    /// Adapter.
    pub adapter: AdapterId,
    /// Model that it extends.
    pub model: ModelId,
}

/// What an endpoint says about itself; may lag.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Run of the endpoint's process.
    pub incarnation: Incarnation,
    /// Number of the report.
    pub report_number: ReportNumber,
    /// Number of the last order applied.
    pub last_order: OrderNumber,
    /// Accelerator memory of the endpoint.
    pub memory_mib: MemorySize,
    /// Memory in use.
    pub used_mib: MemorySize,
    /// Whether the endpoint is leaving.
    #[serde(default)]
    pub draining: bool,
    /// Largest fencing number seen.
    pub fencing_number: FencingNumber,
    /// Models held.
    #[serde(default)]
    pub models: Vec<ModelReport>,
    /// Adapters held.
    #[serde(default)]
    pub adapters: Vec<AdapterReport>,
}

impl EndpointReport {
    /// Returns whether the report lists something.
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
