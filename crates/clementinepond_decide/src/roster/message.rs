//! Messages between VMs about the roster.

use super::{IncarnationId, RosterTable};
use crate::configuration::ConfigurationDigest;
use crate::port::VersionedObject;
use clementinepond_types::{DataCentreId, ObjectVersion, TimeSpan, VmId};
use serde::{Deserialize, Serialize};

/// Version of one table that the sender has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDigest {
    /// Data centre of the table.
    pub data_centre: DataCentreId,
    /// Version of the table.
    pub version: ObjectVersion,
}

/// Time since each member was last seen, in the order of one table's members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastSeenList {
    /// Version of the table that defines the order.
    pub version: ObjectVersion,
    /// Quarter seconds since each member was last seen, rounded up; 255 when that is
    /// more than 254 or unknown.
    pub ages: Vec<u8>,
    /// One bit per member, lowest bit of the first byte first, set when the member
    /// uses no more than the fleet share in this version.
    pub complying: Vec<u8>,
}

/// Time since a relay last had an answer from the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayContact {
    /// Name of the relay.
    pub vm: VmId,
    /// Quarter seconds since the answer, rounded up; 255 when that is more than 254.
    pub age: u8,
}

/// Data that a VM sends with each probe and acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Process of the sender.
    pub incarnation: IncarnationId,
    /// Address of the sender; `None` when the receiver can find it in a table.
    pub address: Option<Box<str>>,
    /// Versions of the tables that the sender has.
    pub rosters: Vec<RosterDigest>,
    /// Time since the sender's members were last seen; `None` while the sender knows
    /// no table of its data centre.
    pub last_seen: Option<LastSeenList>,
    /// Relays of the sender's data centre with recent platform contact.
    pub relay_contacts: Vec<RelayContact>,
    /// Digest of the sender's configuration; `None` before it has one.
    pub configuration: Option<ConfigurationDigest>,
}

/// Request to be added to the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// Address of the sender.
    pub address: Box<str>,
    /// Process of the sender.
    pub incarnation: IncarnationId,
    /// Time since the process started.
    pub running: TimeSpan,
}

/// Message between two VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterMessage {
    /// Requests an acknowledgement.
    Probe {
        /// Number of the probe; 0 for a probe to an address from the settings.
        number: u64,
        /// Heartbeat data of the sender.
        heartbeat: PeerHeartbeat,
    },
    /// Acknowledges a probe.
    Ack {
        /// Number of the probe; 0 for a probe to an address from the settings.
        number: u64,
        /// Heartbeat data of the sender.
        heartbeat: PeerHeartbeat,
    },
    /// Requests the newest table of a data centre.
    TableRequest {
        /// Data centre of the table.
        data_centre: DataCentreId,
    },
    /// Sends a table.
    Table(VersionedObject<RosterTable>),
    /// Requests that a relay add the sender to the table.
    Join(JoinRequest),
}
