//! What the roster asks its edge to do.

use super::{RosterMessage, RosterTable, ShareTable};
use crate::configuration::ConfigurationDigest;
use clementinepond_types::{DataCentreId, Epoch, LocalTime, ObjectVersion, PartCount, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Parts that this VM may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsableParts {
    /// Number that grows when parts or share change.
    pub change: u64,
    /// Epoch of the table that gives the parts.
    pub epoch: Epoch,
    /// Parts of the data centre's 1,024.
    pub parts: PartCount,
    /// Fleet share of the data centre, of 1,024.
    pub share: PartCount,
    /// Moment after which the parts may not be used.
    pub deadline: LocalTime,
}

/// Effect of the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterEffect {
    /// Send a message to another VM.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: RosterMessage,
    },
    /// Send a message to an address from the settings.
    SendAddress {
        /// Address of a VM whose name is unknown.
        address: Box<str>,
        /// Message.
        message: RosterMessage,
    },
    /// Remember the address of a VM.
    LearnAddress {
        /// Name of the VM.
        vm: VmId,
        /// Address of the VM.
        address: Box<str>,
    },
    /// Read the table of the own data centre; answer with `TableRead`.
    ReadTable {
        /// Name of the object, of kind `roster`.
        data_centre: DataCentreId,
    },
    /// Update the own table; answer with `TableStored`.
    StoreTable {
        /// Version that the object must have; zero creates it.
        if_version: ObjectVersion,
        /// New content.
        table: RosterTable,
        /// Moment after which the update must not be sent.
        deadline: LocalTime,
    },
    /// Watch all tables; answer with `TablesWatched`.
    WatchTables {
        /// Version after which changes are wanted.
        from: ObjectVersion,
    },
    /// List all tables; answer with `TablesWatched`.
    ListTables,
    /// Read the fleet shares; answer with `SharesRead`.
    ReadShares,
    /// Update the fleet shares; answer with `SharesStored`.
    StoreShares {
        /// Version that the object must have; zero creates it.
        if_version: ObjectVersion,
        /// New content.
        table: ShareTable,
        /// Moment after which the update must not be sent.
        deadline: LocalTime,
    },
    /// Read the platform's list of VMs; answer with `VmsListed`.
    ListVms,
    /// Use these parts and no others. Parts gained start with empty buckets.
    /// After each new `change`, answer with `PartsStopped` once no grant or
    /// loan beyond it is left.
    UseParts(UsableParts),
    /// The tables or the live members changed.
    MembersChanged {
        /// Live members of the own data centre, this VM included.
        local: Vec<VmId>,
        /// Members of other data centres.
        remote: BTreeMap<DataCentreId, Vec<VmId>>,
    },
    /// Relay duty began or ended.
    RelayChanged {
        /// Whether this VM has relay duty.
        active: bool,
    },
    /// A peer's heartbeat carried this configuration digest.
    PeerDigest {
        /// Sender of the heartbeat.
        from: VmId,
        /// Its digest.
        digest: ConfigurationDigest,
    },
    /// The graceful shutdown may end; this VM holds no parts.
    Released,
}
