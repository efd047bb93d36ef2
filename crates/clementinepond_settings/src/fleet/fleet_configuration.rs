//! The configuration as a whole.

use super::{
    AdapterEntry, ClientAccount, EndpointEntry, FleetException, KeyEntry, ModelEntry, ServiceRoute,
};
use crate::FaultList;
use crate::fault::read_object;
use clementinepond_types::{
    AccountId, AdapterId, DataCentreId, EndpointId, KeyDigest, ModelId, RouteName,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Values that hold unless an exception says otherwise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetDefaults {
    /// Tokens of an answer when the caller states no limit.
    pub answer_tokens: u64,
    /// Most tokens that one answer may have.
    pub answer_tokens_limit: u64,
    /// Loads that the weight store serves a second, over the fleet, in thousandths.
    pub store_loads_per_1000s: u32,
    /// Loads that the weight store serves at once at full speed.
    pub store_loads_at_once: u32,
    /// Adapters in transit at full speed.
    pub adapters_in_transit: u32,
}

impl Default for FleetDefaults {
    fn default() -> Self {
        Self {
            answer_tokens: 512,
            answer_tokens_limit: 8192,
            store_loads_per_1000s: 1000,
            store_loads_at_once: 4,
            adapters_in_transit: 30,
        }
    }
}

/// One data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreEntry {
    /// Parts of 1,024 of every limit that this data centre holds.
    pub limit_parts: u32,
}

/// Configuration that all VMs share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetConfiguration {
    /// Fleet-wide defaults.
    pub defaults: FleetDefaults,
    /// Data centres.
    pub data_centres: BTreeMap<DataCentreId, DataCentreEntry>,
    /// Client accounts.
    pub accounts: BTreeMap<AccountId, ClientAccount>,
    /// Keys, by digest.
    pub keys: BTreeMap<KeyDigest, KeyEntry>,
    /// Hosted models.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// Hosted adapters.
    pub adapters: BTreeMap<AdapterId, AdapterEntry>,
    /// Endpoints.
    pub endpoints: BTreeMap<EndpointId, EndpointEntry>,
    /// Routes to plain services.
    pub services: BTreeMap<RouteName, ServiceRoute>,
    /// Exceptions to the defaults.
    pub exceptions: Vec<FleetException>,
}

impl FleetConfiguration {
    /// Reads and checks a configuration.
    ///
    /// # Errors
    ///
    /// Lists every value that does not fit.
    pub fn read(value: serde_json::Value) -> Result<Self, FaultList> {
        let mut faults = FaultList::default();
        match read_object::<Self>(value, &mut faults) {
            Some(configuration) => {
                configuration.check(&mut faults);
                faults.into_result(configuration)
            }
            None => Err(faults),
        }
    }

    /// Reads and checks the text of a configuration.
    ///
    /// # Errors
    ///
    /// As [`FleetConfiguration::read`]; also when the text is not JSON.
    pub fn read_text(text: &str) -> Result<Self, FaultList> {
        match serde_json::from_str(text) {
            Ok(value) => Self::read(value),
            Err(error) => {
                let mut faults = FaultList::default();
                faults.push("configuration", &error.to_string(), "send a JSON object");
                Err(faults)
            }
        }
    }
}
