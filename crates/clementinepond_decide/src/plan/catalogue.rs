//! What operators want placed.

use super::{ComputeLoad, ModelVersion};
use clementinepond_types::{
    AdapterId, DataCentreId, EndpointId, MemorySize, ModelId, PriorityClass,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One hosted model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Version that shall serve.
    pub version: ModelVersion,
    /// Memory of one copy.
    pub memory_mib: MemorySize,
    /// Priority when room is short.
    pub priority: PriorityClass,
    /// Load that one copy can carry.
    pub replica_limit: ComputeLoad,
    /// Whether each data centre keeps a copy.
    pub resident: bool,
}

/// One hosted adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterSpec {
    /// Model that it extends.
    pub model: ModelId,
    /// Memory of one copy.
    pub memory_mib: MemorySize,
}

/// Rule of one exception.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExceptionRule {
    /// Keeps a copy on the endpoint.
    Pin {
        /// Endpoint that keeps the copy.
        endpoint: EndpointId,
    },
    /// Keeps the model off the endpoint.
    Forbid {
        /// Endpoint without the model.
        endpoint: EndpointId,
    },
    /// Keeps at least this many copies in each data centre.
    MinReplicas {
        /// Number of copies.
        count: u32,
    },
}

/// Departure from the defaults for one model, with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementException {
    /// Model concerned.
    pub model: ModelId,
    /// Rule that applies.
    pub rule: ExceptionRule,
    /// Why operators want it.
    pub reason: Box<str>,
}

/// One data centre's share of the weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreShare {
    /// Model loads started an hour.
    pub loads_an_hour: u32,
    /// Model loads under way at once.
    pub loads_at_once: u32,
    /// Adapter loads under way at once.
    pub adapters_at_once: u32,
}

impl Default for StoreShare {
    fn default() -> Self {
        Self {
            loads_an_hour: 1_200,
            loads_at_once: 1,
            adapters_at_once: 10,
        }
    }
}

/// Everything that operators want placed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementCatalogue {
    /// Hosted models.
    pub models: BTreeMap<ModelId, ModelSpec>,
    /// Hosted adapters.
    pub adapters: BTreeMap<AdapterId, AdapterSpec>,
    /// Exceptions with their reasons.
    pub exceptions: Vec<PlacementException>,
    /// This data centre's share of the weight store.
    pub share: StoreShare,
    /// All data centres that host models.
    pub data_centres: BTreeSet<DataCentreId>,
}

impl PlacementCatalogue {
    /// Returns whether one data centre comes before another in keeping a
    /// model.
    #[must_use]
    pub fn precedes(&self, model: &ModelId, first: &DataCentreId, second: &DataCentreId) -> bool {
        let rank = |data_centre: &DataCentreId| {
            let weight = rendezvous_weight(model.as_str(), data_centre.as_str());
            (weight, data_centre.clone())
        };
        rank(first) > rank(second)
    }

    /// Returns how many data centres come before one in keeping a model.
    #[must_use]
    pub fn rendezvous_rank(&self, model: &ModelId, data_centre: &DataCentreId) -> usize {
        self.data_centres
            .iter()
            .filter(|other| self.precedes(model, other, data_centre))
            .count()
    }
}

/// Returns the rendezvous weight of a pair of names.
pub(super) fn rendezvous_weight(item: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(item.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    let mut weight = [0; 8];
    hasher.finalize_xof().fill(&mut weight);
    u64::from_le_bytes(weight)
}
