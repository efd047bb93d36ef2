//! Settings of all parts.

use crate::claim::{ClaimSettings, VmIncarnation};
use crate::configuration::ConfigurationSettings;
use crate::crash::CrashSettings;
use crate::limit::LimitSettings;
use crate::plan::PlanSettings;
use crate::request::RequestPolicy;
use crate::roster::{IncarnationId, OwnIdentity, RosterSettings};
use crate::route::RouteSettings;
use clementinepond_types::{DataCentreId, VmId};

/// Settings of all parts.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentreId,
    /// Address that other VMs connect to.
    pub address: Box<str>,
    /// Random number of this process.
    pub incarnation: u64,
    /// Limits on attempts.
    pub request: RequestPolicy,
    /// Settings of routing.
    pub route: RouteSettings,
    /// Settings of the roster.
    pub roster: RosterSettings,
    /// Settings of the configuration.
    pub configuration: ConfigurationSettings,
    /// Settings of limits.
    pub limit: LimitSettings,
    /// Settings of claims.
    pub claim: ClaimSettings,
    /// Settings of the crash guard.
    pub crash: CrashSettings,
    /// Settings of placement.
    pub plan: PlanSettings,
}

impl NodeSettings {
    pub(super) fn identity(&self) -> OwnIdentity {
        OwnIdentity {
            vm: self.vm.clone(),
            data_centre: self.data_centre.clone(),
            address: self.address.clone(),
            incarnation: IncarnationId::new(self.incarnation),
        }
    }

    /// The upper half of the random number; limits send it in every message.
    pub(super) const fn limit_incarnation(&self) -> u32 {
        (self.incarnation >> 32) as u32
    }

    pub(super) const fn claim_incarnation(&self) -> VmIncarnation {
        VmIncarnation::new(self.incarnation)
    }
}
