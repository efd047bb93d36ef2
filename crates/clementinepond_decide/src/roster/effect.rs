//! Effects of the roster, carried out by the I/O layer.

use super::{RosterMessage, RosterTable, ShareTable};
use crate::configuration::ConfigurationDigest;
use clementinepond_types::{DataCentreId, Epoch, LocalTime, ObjectVersion, PartCount, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Parts that this VM may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsableParts {
    /// Number that increases when `parts` or `share` change.
    pub change: u64,
    /// Epoch of the table that assigns the parts.
    pub epoch: Epoch,
    /// Parts of the data centre, of 1,024.
    pub parts: PartCount,
    /// Fleet share of the data centre, of 1,024.
    pub share: PartCount,
    /// Time after which the parts may not be used.
    pub deadline: LocalTime,
}

/// Effect of the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterEffect {
    /// Sends a message to another VM.
    Send {
        /// Receiver.
        to: VmId,
        /// Message to send.
        message: RosterMessage,
    },
    /// Sends a message to an address from the settings.
    SendAddress {
        /// Address of a VM whose name is unknown.
        address: Box<str>,
        /// Message to send.
        message: RosterMessage,
    },
    /// Stores the address of a VM.
    LearnAddress {
        /// Name of the VM.
        vm: VmId,
        /// Address of the VM.
        address: Box<str>,
    },
    /// Reads the table of the own data centre; the answer is `TableRead`.
    ReadTable {
        /// Name of the object, of kind `roster`.
        data_centre: DataCentreId,
    },
    /// Updates the own table; the answer is `TableStored`.
    StoreTable {
        /// Version that the object must have; zero creates it.
        if_version: ObjectVersion,
        /// New content of the object.
        table: RosterTable,
        /// Time after which the update must not be sent.
        deadline: LocalTime,
    },
    /// Watches all tables; the answer is `TablesWatched`.
    WatchTables {
        /// Version after which changes are reported.
        from: ObjectVersion,
    },
    /// Lists all tables; the answer is `TablesWatched`.
    ListTables,
    /// Reads the fleet shares; the answer is `SharesRead`.
    ReadShares,
    /// Updates the fleet shares; the answer is `SharesStored`.
    StoreShares {
        /// Version that the object must have; zero creates it.
        if_version: ObjectVersion,
        /// New content of the object.
        table: ShareTable,
        /// Time after which the update must not be sent.
        deadline: LocalTime,
    },
    /// Reads the platform's list of VMs; the answer is `VmsListed`.
    ListVms,
    /// Allows the use of these parts and no others. Parts gained start with
    /// empty buckets. After each new `change`, the answer is `PartsStopped`
    /// once no grant or loan that exceeds these parts is left.
    UseParts(UsableParts),
    /// Reports that the tables or the live members changed.
    MembersChanged {
        /// Live members of the own data centre, this VM included.
        local: Vec<VmId>,
        /// Members of other data centres.
        remote: BTreeMap<DataCentreId, Vec<VmId>>,
    },
    /// Reports that this VM became a relay or stopped being one.
    RelayChanged {
        /// Whether this VM is a relay now.
        active: bool,
    },
    /// Reports the configuration digest in a peer's heartbeat.
    PeerDigest {
        /// Sender of the heartbeat.
        from: VmId,
        /// Configuration digest of the sender.
        digest: ConfigurationDigest,
    },
    /// Reports that the graceful shutdown may end; this VM holds no parts.
    Released,
}
