//! Root of the settings of a VM.

use super::section::{
    AdminSettings, CallerSettings, EndpointSettings, LimitSettings, MembershipSettings,
    PeerSettings, PlatformSettings, RequestSettings, TelemetrySettings,
};
use clementinepond_types::{DataCentreId, VmId};
use serde::{Deserialize, Serialize};

/// Settings of a VM.
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
    /// Client of the platform's object API.
    pub platform: PlatformSettings,
    /// Calls to endpoints.
    #[serde(default)]
    pub endpoint: EndpointSettings,
    /// Limits of a request from arrival to answer.
    #[serde(default)]
    pub request: RequestSettings,
    /// Membership, and VMs without contact to others.
    #[serde(default)]
    pub membership: MembershipSettings,
    /// Loans that enforce the limits of client accounts.
    #[serde(default)]
    pub limit: LimitSettings,
    /// Logs and traces.
    #[serde(default)]
    pub telemetry: TelemetrySettings,
}
