//! Everything that a VM remembers.

use crate::request::{RequestPolicy, RequestTable};
use crate::route::{RouteSettings, RouteTable};
use clementinepond_types::{DataCentreId, VmId};

/// Settings of all parts.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Limits on attempts.
    pub request: RequestPolicy,
    /// Settings of routing.
    pub route: RouteSettings,
}

/// Everything that a VM remembers.
#[derive(Debug, Clone)]
pub struct NodeState {
    /// Requests that run.
    pub requests: RequestTable,
    /// Endpoints.
    pub routes: RouteTable,
}

impl NodeState {
    /// Starts empty.
    #[must_use]
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            requests: RequestTable::new(settings.request),
            routes: RouteTable::new(settings.route, settings.data_centre),
        }
    }
}
