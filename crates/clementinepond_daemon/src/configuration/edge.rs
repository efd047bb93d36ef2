//! Bringing a configuration into force.

use super::ConfigurationSnapshot;
use crate::admin::{CONFIGURATION_KIND, CONFIGURATION_NAME};
use crate::clock::LocalClock;
use crate::endpoint::AddressBook;
use crate::node::{NodeHandle, NodeInput};
use crate::platform::{PlatformClient, PlatformError};
use crate::telemetry::MetricSet;
use clementinepond_decide::node::NodeEvent;
use clementinepond_decide::route::{EndpointProfile, EndpointRole};
use clementinepond_settings::fleet::{EndpointEntry, EndpointKind, FleetConfiguration};
use clementinepond_types::{EndpointId, KeyDigest, ObjectVersion};
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Wait after a failed call of the platform.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// What bringing a configuration into force touches.
pub(crate) struct ConfigurationEdge {
    pub(crate) clock: LocalClock,
    pub(crate) platform: PlatformClient,
    pub(crate) node: NodeHandle,
    pub(crate) snapshot: watch::Sender<Arc<ConfigurationSnapshot>>,
    pub(crate) addresses: watch::Sender<Arc<AddressBook>>,
    pub(crate) metrics: Arc<MetricSet>,
}

/// Follows the configuration until the token is cancelled.
pub(crate) async fn run_configuration(edge: ConfigurationEdge, cancellation: CancellationToken) {
    let mut position = ObjectVersion::new(0);
    while !cancellation.is_cancelled() {
        let step = tokio::select! {
            () = cancellation.cancelled() => return,
            step = edge.follow(position) => step,
        };
        match step {
            Ok(next) => position = next,
            Err(error) => {
                log::warn!("event=configuration_unavailable error=\"{error}\"");
                tokio::time::sleep(RETRY_WAIT).await;
            }
        }
    }
}

impl ConfigurationEdge {
    async fn follow(&self, position: ObjectVersion) -> Result<ObjectVersion, PlatformError> {
        if position == ObjectVersion::new(0) {
            return self.read().await;
        }
        match self.platform.watch(CONFIGURATION_KIND, position).await {
            Ok(page) => {
                for object in page.changes {
                    if &*object.name == CONFIGURATION_NAME {
                        self.apply(object.version, object.value);
                    }
                }
                Ok(page.version)
            }
            Err(PlatformError::Gone) => self.read().await,
            Err(error) => Err(error),
        }
    }

    async fn read(&self) -> Result<ObjectVersion, PlatformError> {
        let object = self
            .platform
            .read(CONFIGURATION_KIND, CONFIGURATION_NAME)
            .await?;
        let Some(object) = object else {
            tokio::time::sleep(RETRY_WAIT).await;
            return Ok(ObjectVersion::new(0));
        };
        let version = object.version;
        self.apply(version, object.value);
        Ok(version)
    }

    /// Puts a configuration in force, unless a newer one is.
    pub(crate) fn apply(&self, version: ObjectVersion, value: Value) {
        let in_force = Arc::clone(&self.snapshot.borrow());
        if version <= in_force.version {
            return;
        }
        let configuration = match FleetConfiguration::read(value) {
            Ok(configuration) => configuration,
            Err(faults) => {
                log::error!("event=configuration_refused version={version} faults=\"{faults}\"");
                return;
            }
        };
        let withdrawn = removed_keys(&in_force.configuration, &configuration);
        self.addresses
            .send_replace(Arc::new(addresses(&configuration)));
        self.node
            .send_event(NodeEvent::EndpointsConfigured(profiles(&configuration)));
        self.snapshot.send_replace(Arc::new(ConfigurationSnapshot {
            version,
            configuration,
            withdrawn: in_force.withdrawn.clone(),
            applied: self.clock.now(),
        }));
        self.node.send(NodeInput::KeysWithdrawn(withdrawn));
        self.metrics.note_configuration(version.get());
        log::info!("event=configuration_applied version={version}");
    }
}

/// Returns the keys that no longer work.
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

fn addresses(configuration: &FleetConfiguration) -> AddressBook {
    let endpoints = configuration.endpoints.iter();
    endpoints
        .map(|(id, entry)| (id.clone(), entry.address))
        .collect()
}

fn profiles(configuration: &FleetConfiguration) -> BTreeMap<EndpointId, EndpointProfile> {
    let endpoints = configuration.endpoints.iter();
    endpoints
        .map(|(id, entry)| (id.clone(), profile(entry)))
        .collect()
}

fn profile(entry: &EndpointEntry) -> EndpointProfile {
    EndpointProfile {
        data_centre: entry.data_centre.clone(),
        role: match &entry.kind {
            EndpointKind::Engine { .. } => EndpointRole::Engine,
            EndpointKind::Service { route } => EndpointRole::Service(route.clone()),
        },
        leaving: entry.leaving,
    }
}
