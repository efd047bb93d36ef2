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

/// Time since each member was heard, in the order of one table's members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeardList {
    /// Version of the table that gives the order.
    pub version: ObjectVersion,
    /// Quarter seconds since each member was heard, 255 for longer.
    pub ages: Vec<u8>,
    /// One bit a member: it keeps to this version's fleet share.
    pub keeping: Vec<u8>,
}

/// Time since a relay last had an answer from the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformSighting {
    /// The relay.
    pub vm: VmId,
    /// Quarter seconds since the answer.
    pub age: u8,
}

/// What a VM tells with each probe and acknowledgement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Process of the sender.
    pub incarnation: IncarnationId,
    /// Address of the sender, unless the table holds it.
    pub address: Option<Box<str>>,
    /// Versions of the tables that the sender has.
    pub rosters: Vec<RosterDigest>,
    /// Members of the sender's data centre, as heard.
    pub heard: Option<HeardList>,
    /// Relays of the sender's data centre with recent platform contact.
    pub platform: Vec<PlatformSighting>,
    /// Digest of the sender's configuration.
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
    /// Asks for an acknowledgement.
    Probe {
        /// Number of the probe.
        number: u64,
        /// News of the sender.
        heartbeat: PeerHeartbeat,
    },
    /// Acknowledges a probe.
    Ack {
        /// Number of the probe.
        number: u64,
        /// News of the sender.
        heartbeat: PeerHeartbeat,
    },
    /// Asks for the newest table of a data centre.
    TableRequest {
        /// Data centre of the table.
        data_centre: DataCentreId,
    },
    /// Carries a table.
    Table(VersionedObject<RosterTable>),
    /// Asks a relay to add the sender.
    Join(JoinRequest),
}
