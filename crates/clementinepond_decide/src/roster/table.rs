//! Tables that the platform stores.

use super::{IncarnationId, UpdateNonce};
use clementinepond_types::{DataCentreId, Epoch, ObjectVersion, PartCount, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of parts of a data centre, and of parts of the fleet.
pub const WHOLE_PARTS: u32 = 1_024;

/// Entry of a VM in the table of its data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterMember {
    /// Address that other VMs connect to.
    pub address: Box<str>,
    /// Incarnation of the process that may use the parts.
    pub incarnation: IncarnationId,
    /// Parts that the process holds, of 1,024.
    pub parts: PartCount,
}

/// Members of one data centre; stored as the platform object of kind `roster`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterTable {
    /// Data centre whose members are listed.
    pub data_centre: DataCentreId,
    /// Number of updates so far.
    pub epoch: Epoch,
    /// Share of the fleet's limits that members may use, of 1,024.
    pub share: PartCount,
    /// Version of the fleet shares on which the last change of `share` or
    /// `share_releasing` was based.
    pub share_version: ObjectVersion,
    /// Whether the share was lowered here and not yet in the fleet's table.
    pub share_releasing: bool,
    /// Members by name.
    pub members: BTreeMap<VmId, RosterMember>,
    /// Writer of the last update.
    pub holder: VmId,
    /// Nonce of the last update.
    pub nonce: UpdateNonce,
}

impl RosterTable {
    /// Returns the number of parts that members hold.
    #[must_use]
    pub fn held(&self) -> PartCount {
        self.members.values().map(|member| member.parts).sum()
    }

    /// Returns the number of parts that no member holds.
    #[must_use]
    pub fn unheld(&self) -> PartCount {
        PartCount::new(WHOLE_PARTS).saturating_sub(self.held())
    }

    /// Returns an even share of the parts for one member, rounded up.
    #[must_use]
    pub fn even_share(&self) -> PartCount {
        let count = u32::try_from(self.members.len()).unwrap_or(WHOLE_PARTS);
        PartCount::new(WHOLE_PARTS.div_ceil(count.max(1)))
    }

    /// Returns the entry of a VM if it belongs to this incarnation.
    #[must_use]
    pub fn entry(&self, vm: &VmId, incarnation: IncarnationId) -> Option<&RosterMember> {
        self.members
            .get(vm)
            .filter(|member| member.incarnation == incarnation)
    }
}

/// Shares of the fleet that data centres hold; stored as one platform object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTable {
    /// Shares by data centre, of 1,024.
    pub shares: BTreeMap<DataCentreId, PartCount>,
    /// Writer of the last update.
    pub holder: VmId,
    /// Nonce of the last update.
    pub nonce: UpdateNonce,
}

impl ShareTable {
    /// Returns the share of a data centre; zero when it is not listed.
    #[must_use]
    pub fn share(&self, data_centre: &DataCentreId) -> PartCount {
        self.shares.get(data_centre).copied().unwrap_or_default()
    }

    /// Returns the share that no data centre holds.
    #[must_use]
    pub fn unheld(&self) -> PartCount {
        let held = self.shares.values().copied().sum();
        PartCount::new(WHOLE_PARTS).saturating_sub(held)
    }
}
