//! Changes to the configuration by operators.

use super::{
    AdapterEntry, ClientAccount, DataCentreEntry, EndpointEntry, FleetConfiguration, FleetDefaults,
    FleetException, KeyEntry, ModelEntry, ServiceRoute,
};
use crate::FaultList;
use clementinepond_types::{
    AccountId, AdapterId, DataCentreId, EndpointId, KeyDigest, ModelId, RouteName,
};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Change of the configuration; an entry of `None` removes the named entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationChange {
    /// Replaces the fleet-wide defaults.
    Defaults(FleetDefaults),
    /// Sets or removes a data centre.
    DataCentre(DataCentreId, Option<DataCentreEntry>),
    /// Sets or removes an account; removal also removes its keys.
    Account(AccountId, Option<ClientAccount>),
    /// Sets or withdraws a key.
    Key(KeyDigest, Option<KeyEntry>),
    /// Sets or removes a model.
    Model(ModelId, Option<ModelEntry>),
    /// Sets or removes an adapter.
    Adapter(AdapterId, Option<AdapterEntry>),
    /// Sets or removes an endpoint.
    Endpoint(EndpointId, Option<EndpointEntry>),
    /// Sets or removes a route to plain services.
    Service(RouteName, Option<ServiceRoute>),
    /// Replaces the list of exceptions.
    Exceptions(Vec<FleetException>),
}

/// Error for a refused change.
#[derive(Debug, Display, Error, PartialEq, Eq)]
pub enum ChangeError {
    /// The entry to remove does not exist.
    #[display("the entry to remove does not exist; list the entries and correct the name")]
    Missing,
    /// The changed configuration would be invalid.
    #[display("{_0}")]
    Invalid(#[error(not(source))] FaultList),
}

impl FleetConfiguration {
    /// Returns the configuration with the change applied, if the result is valid.
    ///
    /// # Errors
    ///
    /// Fails when the entry to remove does not exist or the result is invalid.
    pub fn with_change(&self, change: ConfigurationChange) -> Result<Self, ChangeError> {
        let mut changed = self.clone();
        changed.apply(change)?;
        let mut faults = FaultList::default();
        changed.check(&mut faults);
        faults.into_result(changed).map_err(ChangeError::Invalid)
    }

    fn apply(&mut self, change: ConfigurationChange) -> Result<(), ChangeError> {
        match change {
            ConfigurationChange::Defaults(defaults) => self.defaults = defaults,
            ConfigurationChange::Exceptions(exceptions) => self.exceptions = exceptions,
            ConfigurationChange::DataCentre(id, entry) => set(&mut self.data_centres, id, entry)?,
            ConfigurationChange::Account(id, entry) => {
                if entry.is_none() {
                    self.keys.retain(|_, key| key.account != id);
                }
                set(&mut self.accounts, id, entry)?;
            }
            ConfigurationChange::Key(digest, entry) => set(&mut self.keys, digest, entry)?,
            ConfigurationChange::Model(id, entry) => set(&mut self.models, id, entry)?,
            ConfigurationChange::Adapter(id, entry) => set(&mut self.adapters, id, entry)?,
            ConfigurationChange::Endpoint(id, entry) => set(&mut self.endpoints, id, entry)?,
            ConfigurationChange::Service(name, entry) => set(&mut self.services, name, entry)?,
        }
        Ok(())
    }
}

fn set<K: Ord, V>(map: &mut BTreeMap<K, V>, key: K, entry: Option<V>) -> Result<(), ChangeError> {
    match entry {
        Some(entry) => {
            map.insert(key, entry);
        }
        None => {
            map.remove(&key).ok_or(ChangeError::Missing)?;
        }
    }
    Ok(())
}
