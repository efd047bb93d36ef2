//! Events of the roster.

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
    /// The VM was requested to stop.
    Leaving,
}

/// Entry of the platform's list of VMs, which lags behind their actual state.
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
    /// Periodic work is due; sent at least 4 times per heartbeat period.
    Tick,
    /// A message from another VM arrived.
    Received {
        /// Sender.
        from: VmId,
        /// Received message.
        message: RosterMessage,
    },
    /// A read of the own table was answered.
    TableRead(ReadReply<RosterTable>),
    /// An update of the own table was answered.
    TableStored {
        /// Nonce of the update.
        nonce: UpdateNonce,
        /// Answer of the platform.
        reply: StoreReply<RosterTable>,
    },
    /// A watch or list of all tables was answered.
    TablesWatched(WatchAnswer<RosterTable>),
    /// A read of the fleet shares was answered.
    SharesRead(ReadReply<ShareTable>),
    /// An update of the fleet shares was answered.
    SharesStored(StoreReply<ShareTable>),
    /// A read of the platform's list ended; `None` when no answer came.
    VmsListed(Option<Vec<ListedVm>>),
    /// No grant or loan is left that exceeds the parts and share of the `UseParts` with
    /// this number.
    PartsStopped {
        /// Number of the change in `UseParts`.
        change: u64,
    },
    /// The active configuration assigns this fleet share to the data centre.
    ShareTarget(PartCount),
    /// The configuration has a new digest to send in heartbeats.
    DigestChanged(ConfigurationDigest),
    /// A graceful shutdown began.
    ShutdownStarted,
}
