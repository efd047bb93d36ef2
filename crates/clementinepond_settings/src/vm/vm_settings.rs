//! The settings file as a whole.

use super::section::{
    AdminSettings, CallerSettings, EndpointSettings, LimitSettings, MembershipSettings,
    PeerSettings, PlatformSettings, RequestSettings, TelemetrySettings,
};
use clementinepond_types::{DataCentreId, VmId};
use serde::{Deserialize, Serialize};

/// Settings of one VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmSettings {
    /// Name of this VM, unique in the fleet.
    pub vm: VmId,
    /// Data centre of this VM.
    pub data_centre: DataCentreId,
    /// Listener for callers.
    pub caller: CallerSettings,
    /// Listener for operators.
    pub admin: AdminSettings,
    /// Messages between VMs.
    pub peer: PeerSettings,
    /// The platform's object API.
    pub platform: PlatformSettings,
    /// Calls to endpoints.
    #[serde(default)]
    pub endpoint: EndpointSettings,
    /// Life cycle of requests.
    #[serde(default)]
    pub request: RequestSettings,
    /// Membership and what a VM does while it is cut off.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Limits of client accounts.
    #[serde(default)]
    pub limit: LimitSettings,
    /// Logs, traces and metrics.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}
