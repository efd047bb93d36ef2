//! What a deployment consists of.

use clementinepond_settings::fleet::FleetConfiguration;
use clementinepond_standin::engine::EngineOptions;
use clementinepond_standin::platform::PlatformOptions;
use clementinepond_standin::service::ServiceOptions;
use clementinepond_types::{DataCentreId, RouteName};
use serde_json::Value;
use std::collections::BTreeMap;

/// What a deployment consists of.
#[derive(Debug, Clone, Default)]
pub struct FleetPlan {
    /// Data centres and the number of VMs in each.
    pub vms: BTreeMap<DataCentreId, usize>,
    /// Model engines and their data centres.
    pub engines: Vec<(DataCentreId, EngineOptions)>,
    /// Plain services, their routes and data centres.
    pub services: Vec<(DataCentreId, RouteName, ServiceOptions)>,
    /// The platform.
    pub platform: PlatformOptions,
    /// Configuration without endpoints and data centres, which are added.
    pub configuration: FleetConfiguration,
    /// Values that replace those of the settings of every VM.
    pub settings: Option<Value>,
}
