//! Application of new configurations.

use super::{ConfigurationSnapshot, fleet_view};
use crate::clock::LocalClock;
use crate::endpoint::{EndpointAddress, EndpointAddresses};
use crate::telemetry::MetricSet;
use clementinepond_decide::node::FleetView;
use clementinepond_settings::FaultList;
use clementinepond_settings::fleet::{EndpointKind, FleetConfiguration};
use clementinepond_types::{DataCentreId, KeyDigest, LocalTime, ObjectVersion};
use std::sync::Arc;
use tokio::sync::watch;

/// Active configuration, published to the tasks that depend on it.
pub(crate) struct ActiveConfiguration {
    pub(crate) clock: LocalClock,
    pub(crate) data_centre: DataCentreId,
    pub(crate) snapshot: watch::Sender<Arc<ConfigurationSnapshot>>,
    pub(crate) addresses: watch::Sender<Arc<EndpointAddresses>>,
    pub(crate) metrics: Arc<MetricSet>,
}

/// Results of applying a configuration.
pub(crate) struct AppliedConfiguration {
    pub(crate) view: FleetView,
    pub(crate) withdrawn: Vec<KeyDigest>,
}

impl ActiveConfiguration {
    /// Parses a version and makes it the active configuration.
    pub(crate) fn apply(
        &self,
        version: ObjectVersion,
        text: &str,
    ) -> Result<AppliedConfiguration, FaultList> {
        let configuration = FleetConfiguration::read_text(text)?;
        let before = Arc::clone(&self.snapshot.borrow());
        let withdrawn = removed_keys(&before.configuration, &configuration);
        let view = fleet_view(version, &configuration, &self.data_centre);
        self.addresses
            .send_replace(Arc::new(addresses(&configuration)));
        self.snapshot.send_replace(Arc::new(ConfigurationSnapshot {
            version,
            configuration,
            withdrawn: before.withdrawn.clone(),
            key_deadline: before.key_deadline,
            applied: self.clock.now(),
        }));
        self.metrics.record_configuration(version.get());
        log::info!("event=configuration_applied version={version}");
        Ok(AppliedConfiguration { view, withdrawn })
    }

    /// Refuses a key from now on, even if a later configuration contains it.
    pub(crate) fn withdraw(&self, key: KeyDigest) {
        log::info!("event=key_withdrawn digest={key}");
        self.modify(|snapshot| {
            snapshot.withdrawn.insert(key);
        });
    }

    /// Sets the time until which keys are accepted.
    pub(crate) fn accept_keys(&self, deadline: LocalTime) {
        self.modify(|snapshot| snapshot.key_deadline = deadline);
    }

    /// Returns the given keys that the active configuration contains.
    pub(crate) fn present_keys(&self, keys: &[KeyDigest]) -> Vec<KeyDigest> {
        let snapshot = self.snapshot.borrow();
        let held = &snapshot.configuration.keys;
        keys.iter()
            .filter(|key| held.contains_key(*key))
            .copied()
            .collect()
    }

    pub(crate) fn snapshot(&self) -> Arc<ConfigurationSnapshot> {
        Arc::clone(&self.snapshot.borrow())
    }

    pub(crate) fn version(&self) -> ObjectVersion {
        self.snapshot.borrow().version
    }

    fn modify(&self, change: impl FnOnce(&mut ConfigurationSnapshot)) {
        self.snapshot
            .send_modify(|snapshot| change(Arc::make_mut(snapshot)));
    }
}

/// Returns the keys of the old configuration that the new one lacks or whose account is missing
/// or disabled.
fn removed_keys(old: &FleetConfiguration, new: &FleetConfiguration) -> Vec<KeyDigest> {
    let is_valid = |digest: &KeyDigest| {
        new.keys
            .get(digest)
            .and_then(|key| new.accounts.get(&key.account))
            .is_some_and(|account| account.enabled)
    };
    old.keys
        .keys()
        .filter(|digest| !is_valid(digest))
        .copied()
        .collect()
}

fn addresses(configuration: &FleetConfiguration) -> EndpointAddresses {
    let endpoints = configuration.endpoints.iter();
    endpoints
        .map(|(id, entry)| {
            let address = EndpointAddress {
                address: entry.address,
                is_engine: matches!(entry.kind, EndpointKind::Engine { .. }),
            };
            (id.clone(), address)
        })
        .collect()
}
