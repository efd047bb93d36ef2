//! Snapshot of the active configuration.

use clementinepond_settings::fleet::FleetConfiguration;
use clementinepond_types::{KeyDigest, LocalTime, ObjectVersion};
use std::collections::BTreeSet;

/// Active configuration, with the keys that were withdrawn on this VM since it started.
#[derive(Debug, Clone)]
pub(crate) struct ConfigurationSnapshot {
    pub(crate) version: ObjectVersion,
    pub(crate) configuration: FleetConfiguration,
    pub(crate) withdrawn: BTreeSet<KeyDigest>,
    /// Time from which on no key is accepted.
    pub(crate) key_deadline: LocalTime,
    pub(crate) applied: LocalTime,
}

impl Default for ConfigurationSnapshot {
    fn default() -> Self {
        Self {
            version: ObjectVersion::default(),
            configuration: FleetConfiguration::default(),
            withdrawn: BTreeSet::new(),
            key_deadline: LocalTime::NEVER,
            applied: LocalTime::ORIGIN,
        }
    }
}
