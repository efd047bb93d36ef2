//! What can happen to the roster.

use super::{RosterMessage, RosterTable, ShareTable, UpdateNonce, WatchAnswer};
use crate::configuration::ConfigurationDigest;
use crate::port::{ReadReply, StoreReply};
use clementinepond_types::{PartCount, VmId};
use serde::{Deserialize, Serialize};

/// State of a VM in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmPresence {
    /// The VM runs.
    Live,
    /// The VM was asked to stop.
    Leaving,
}

/// One line of the platform's lagging list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the VM.
    pub vm: VmId,
    /// State of the VM.
    pub state: VmPresence,
}

/// Event of the roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterEvent {
    /// Periodic work; at least four times a heartbeat period.
    Tick,
    /// A message of another VM arrived.
    Received {
        /// Sender.
        from: VmId,
        /// Message.
        message: RosterMessage,
    },
    /// The read of the own table was answered.
    TableRead(ReadReply<RosterTable>),
    /// The update of the own table was answered.
    TableStored {
        /// Number of the update.
        nonce: UpdateNonce,
        /// Answer.
        reply: StoreReply<RosterTable>,
    },
    /// The watch or list of all tables was answered.
    TablesWatched(WatchAnswer<RosterTable>),
    /// The read of the fleet shares was answered.
    SharesRead(ReadReply<ShareTable>),
    /// The update of the fleet shares was answered.
    SharesStored(StoreReply<ShareTable>),
    /// The platform's list was answered; nothing when no answer came.
    VmsListed(Option<Vec<ListedVm>>),
    /// No grant or loan is left beyond the `UseParts` with this number.
    PartsStopped {
        /// Number of the change.
        change: u64,
    },
    /// The configuration in force gives the data centre this fleet share.
    ShareTarget(PartCount),
    /// The configuration part has a new digest to send in heartbeats.
    DigestChanged(ConfigurationDigest),
    /// A graceful shutdown began.
    ShutdownStarted,
}
