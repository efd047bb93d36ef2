//! Settings of the node reducer.

use crate::claim::{ClaimSettings, VmIncarnation};
use crate::configuration::ConfigurationSettings;
use crate::crash::CrashSettings;
use crate::limit::LimitSettings;
use crate::plan::PlanSettings;
use crate::request::RequestPolicy;
use crate::roster::{IncarnationId, OwnIdentity, RosterSettings};
use crate::route::RouteSettings;
use clementinepond_types::{DataCentreId, VmId};

/// Settings of the node reducer and of the reducers that it contains.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Name of this VM.
    pub vm: VmId,
    /// Data centre where this VM runs.
    pub data_centre: DataCentreId,
    /// Address, as host and port, that other VMs connect to.
    pub address: Box<str>,
    /// Random number that identifies this process.
    pub incarnation: u64,
    /// Limits on attempts and retries.
    pub request: RequestPolicy,
    /// Settings of endpoint selection.
    pub route: RouteSettings,
    /// Settings of the roster.
    pub roster: RosterSettings,
    /// Settings of the configuration.
    pub configuration: ConfigurationSettings,
    /// Settings of the rate limits.
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

    /// Returns the upper 32 bits of the incarnation; the rate limits send them in every message.
    pub(super) const fn limit_incarnation(&self) -> u32 {
        (self.incarnation >> 32) as u32
    }

    pub(super) const fn claim_incarnation(&self) -> VmIncarnation {
        VmIncarnation::new(self.incarnation)
    }
}
