//! One version of the configuration.

use clementinepond_settings::fleet::FleetConfiguration;
use clementinepond_types::{KeyDigest, LocalTime, ObjectVersion};
use std::collections::BTreeSet;

/// One version of the configuration, with the keys withdrawn since.
#[derive(Debug, Clone, Default)]
pub(crate) struct ConfigurationSnapshot {
    pub(crate) version: ObjectVersion,
    pub(crate) configuration: FleetConfiguration,
    pub(crate) withdrawn: BTreeSet<KeyDigest>,
    pub(crate) applied: LocalTime,
}
