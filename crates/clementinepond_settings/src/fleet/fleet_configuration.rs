//! Root of the configuration.

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

/// Fleet-wide limits; an exception can replace `answer_tokens_limit` for an account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetDefaults {
    /// Maximum number of tokens of an answer when the request states none.
    pub answer_tokens: u64,
    /// Upper bound of the tokens of an answer.
    pub answer_tokens_limit: u64,
    /// Rate of model loads that the weight store serves for the fleet, in loads per
    /// 1000 seconds.
    pub store_loads_per_1000s: u32,
    /// Number of concurrent model loads that the weight store serves at full speed.
    pub store_loads_at_once: u32,
    /// Number of concurrent adapter loads that run at full speed.
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

/// Entry of a data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentreEntry {
    /// Number of parts, out of 1,024, of each account's limits that this data centre
    /// holds.
    pub limit_parts: u32,
}

/// Configuration that all VMs share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetConfiguration {
    /// Fleet-wide limits.
    pub defaults: FleetDefaults,
    /// Data centres.
    pub data_centres: BTreeMap<DataCentreId, DataCentreEntry>,
    /// Client accounts.
    pub accounts: BTreeMap<AccountId, ClientAccount>,
    /// API keys by digest.
    pub keys: BTreeMap<KeyDigest, KeyEntry>,
    /// Hosted models.
    pub models: BTreeMap<ModelId, ModelEntry>,
    /// Hosted adapters.
    pub adapters: BTreeMap<AdapterId, AdapterEntry>,
    /// Endpoints.
    pub endpoints: BTreeMap<EndpointId, EndpointEntry>,
    /// Routes to plain services.
    pub services: BTreeMap<RouteName, ServiceRoute>,
    /// Exceptions to the fleet-wide defaults.
    pub exceptions: Vec<FleetException>,
}

impl FleetConfiguration {
    /// Reads and checks a configuration.
    ///
    /// # Errors
    ///
    /// Fails when a value is invalid. Checks across entries run only when every
    /// value could be deserialized.
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
    /// Fails when the text is not valid JSON, and as in [`FleetConfiguration::read`].
    pub fn read_text(text: &str) -> Result<Self, FaultList> {
        match serde_json::from_str(text) {
            Ok(value) => Self::read(value),
            Err(error) => {
                let mut faults = FaultList::default();
                faults.push(
                    "configuration",
                    &error.to_string(),
                    "write a valid JSON object",
                );
                Err(faults)
            }
        }
    }
}
