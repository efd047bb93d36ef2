//! What can happen to the configuration.

use super::{ConfigurationDigest, ConfigurationMessage, WithdrawalRecord};
use crate::port::{ReadReply, StoreReply};
use crate::roster::WatchAnswer;
use clementinepond_types::{DataCentreId, KeyDigest, ObjectVersion, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Event of the configuration part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationEvent {
    /// Periodic work; at least four times a second.
    Tick,
    /// A message of another VM arrived.
    Received {
        /// Sender.
        from: VmId,
        /// Message.
        message: ConfigurationMessage,
    },
    /// A heartbeat of another VM carried a digest.
    PeerDigest {
        /// Sender.
        from: VmId,
        /// Its digest.
        digest: ConfigurationDigest,
    },
    /// The members changed.
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
    /// The read of the configuration was answered.
    ContentRead(ReadReply<Box<str>>),
    /// The watch of the configuration was answered.
    ContentWatched(WatchAnswer<Box<str>>),
    /// The watch of the withdrawal record was answered.
    RecordWatched(WatchAnswer<WithdrawalRecord>),
    /// The read of the withdrawal record was answered.
    RecordRead(ReadReply<WithdrawalRecord>),
    /// The update of the withdrawal record was answered.
    RecordStored(StoreReply<WithdrawalRecord>),
    /// A version was parsed and is in force.
    Applied {
        /// The version.
        version: ObjectVersion,
    },
    /// A version could not be used; the one before stays in force.
    Refused {
        /// The version.
        version: ObjectVersion,
    },
    /// Which of the checked keys the configuration in force still holds.
    KeysChecked {
        /// Version in force when the keys were looked up.
        version: ObjectVersion,
        /// Keys that were looked up.
        checked: Vec<KeyDigest>,
        /// Those of them that the configuration holds.
        present: Vec<KeyDigest>,
    },
    /// An operator withdraws keys on this VM.
    WithdrawalRequested {
        /// Number that the answer carries.
        request: u64,
        /// Digests of the keys.
        keys: Vec<KeyDigest>,
    },
}
