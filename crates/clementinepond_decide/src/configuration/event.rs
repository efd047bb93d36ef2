//! Events of the configuration part.

use super::{ConfigurationDigest, ConfigurationMessage, WithdrawalRecord};
use crate::port::{ReadReply, StoreReply};
use crate::roster::WatchAnswer;
use clementinepond_types::{DataCentreId, KeyDigest, ObjectVersion, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Event of the configuration part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationEvent {
    /// Periodic event that drives timeouts and retries; at least 4 times a second.
    Tick,
    /// A message arrived from another VM.
    Received {
        /// Sending VM.
        from: VmId,
        /// Received message.
        message: ConfigurationMessage,
    },
    /// A heartbeat with a digest arrived from another VM.
    PeerDigest {
        /// Sending VM.
        from: VmId,
        /// Digest of the sending VM.
        digest: ConfigurationDigest,
    },
    /// The members of the data centres changed.
    MembersChanged {
        /// Live members of this VM's data centre, this VM included.
        local: Vec<VmId>,
        /// Members of the other data centres.
        remote: BTreeMap<DataCentreId, Vec<VmId>>,
    },
    /// This VM became a relay of its data centre or stopped being one.
    RelayChanged {
        /// Whether this VM is a relay.
        active: bool,
    },
    /// The read of the configuration was answered.
    ContentRead(ReadReply<Box<str>>),
    /// The list or watch of the configuration was answered.
    ContentWatched(WatchAnswer<Box<str>>),
    /// The list or watch of the withdrawal record was answered.
    RecordWatched(WatchAnswer<WithdrawalRecord>),
    /// The read of the withdrawal record was answered.
    RecordRead(ReadReply<WithdrawalRecord>),
    /// The update of the withdrawal record was answered.
    RecordStored(StoreReply<WithdrawalRecord>),
    /// A version was parsed and is in force.
    Applied {
        /// Version that is in force.
        version: ObjectVersion,
    },
    /// A version could not be applied; the previous one stays in force.
    Refused {
        /// Version that was refused.
        version: ObjectVersion,
    },
    /// Keys were looked up in the configuration in force.
    KeysChecked {
        /// Version in force at the time of the lookup.
        version: ObjectVersion,
        /// Digests of the keys that were looked up.
        checked: Vec<KeyDigest>,
        /// Digests of those keys that the configuration contains.
        present: Vec<KeyDigest>,
    },
    /// An operator requested the withdrawal of keys on this VM.
    WithdrawalRequested {
        /// Number of the request, returned with its answer.
        request: u64,
        /// Digests of the keys to withdraw.
        keys: Vec<KeyDigest>,
    },
}
