//! Catalogue of the models and adapters to place.

use super::{ComputeLoad, ModelVersion};
use clementinepond_types::{
    AdapterId, DataCentreId, EndpointId, MemorySize, ModelId, PriorityClass,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Hosted model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Version to serve.
    pub version: ModelVersion,
    /// Memory of one copy.
    pub memory_mib: MemorySize,
    /// Priority when memory is short; the larger value is placed first.
    pub priority: PriorityClass,
    /// Largest load that one copy can carry.
    pub replica_limit: ComputeLoad,
    /// Whether every data centre keeps a copy.
    pub resident: bool,
}

/// Hosted adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterSpec {
    /// Model that the adapter extends.
    pub model: ModelId,
    /// Memory of one copy.
    pub memory_mib: MemorySize,
}

/// Rule of an exception.
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
        /// Endpoint that must not hold the model.
        endpoint: EndpointId,
    },
    /// Keeps at least this many copies in each data centre.
    MinReplicas {
        /// Smallest number of copies.
        count: u32,
    },
}

/// Departure from the defaults for one model, with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementException {
    /// Model that the rule applies to.
    pub model: ModelId,
    /// Departure from the defaults.
    pub rule: ExceptionRule,
    /// Reason given by operators.
    pub reason: Box<str>,
}

/// One data centre's share of the weight store's capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreShare {
    /// Most model loads started per hour.
    pub loads_an_hour: u32,
    /// Most model loads under way at once.
    pub loads_at_once: u32,
    /// Most adapter loads under way at once.
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

/// Everything that operators want to be placed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementCatalogue {
    /// Hosted models.
    pub models: BTreeMap<ModelId, ModelSpec>,
    /// Hosted adapters.
    pub adapters: BTreeMap<AdapterId, AdapterSpec>,
    /// Departures from the defaults.
    pub exceptions: Vec<PlacementException>,
    /// This data centre's share of the weight store.
    pub share: StoreShare,
    /// All data centres that host models.
    pub data_centres: BTreeSet<DataCentreId>,
}

impl PlacementCatalogue {
    /// Returns whether the first data centre comes before the second in the model's
    /// rendezvous order.
    ///
    /// A data centre unloads the last copy of a hosted model only if one before it has the
    /// model ready.
    #[must_use]
    pub fn precedes(&self, model: &ModelId, first: &DataCentreId, second: &DataCentreId) -> bool {
        let rank = |data_centre: &DataCentreId| {
            let weight = rendezvous_weight(model.as_str(), data_centre.as_str());
            (weight, data_centre.clone())
        };
        rank(first) > rank(second)
    }

    /// Returns the number of data centres that come before the given one in the
    /// model's rendezvous order.
    #[must_use]
    pub fn rendezvous_rank(&self, model: &ModelId, data_centre: &DataCentreId) -> usize {
        self.data_centres
            .iter()
            .filter(|other| self.precedes(model, other, data_centre))
            .count()
    }
}

/// Returns the rendezvous weight of a candidate for an item; the largest weight
/// comes first.
pub(super) fn rendezvous_weight(item: &str, candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(item.as_bytes());
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    let mut weight = [0; 8];
    hasher.finalize_xof().fill(&mut weight);
    u64::from_le_bytes(weight)
}
