//! What the configuration part asks its edge to do.

use super::{ConfigurationDigest, ConfigurationMessage, WithdrawalRecord};
use clementinepond_types::{KeyDigest, LocalTime, ObjectVersion, VmId};
use serde::{Deserialize, Serialize};

/// Effect of the configuration part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationEffect {
    /// Send a message to another VM.
    Send {
        /// Receiver.
        to: VmId,
        /// Message.
        message: ConfigurationMessage,
    },
    /// Parse this version and put it in force; answer with `Applied` or
    /// `Refused`. Keys that it lacks are withdrawn.
    Apply {
        /// The version.
        version: ObjectVersion,
        /// Its text.
        text: Box<str>,
    },
    /// Read the configuration; answer with `ContentRead`.
    ReadContent,
    /// List the kind `configuration`; answer with `ContentWatched`.
    ListContent,
    /// Watch the configuration; answer with `ContentWatched`.
    WatchContent {
        /// Version after which changes are wanted.
        from: ObjectVersion,
    },
    /// List the kind `withdrawal`; answer with `RecordWatched`.
    ListRecords,
    /// Watch the withdrawal record; answer with `RecordWatched`.
    WatchRecord {
        /// Version after which changes are wanted.
        from: ObjectVersion,
    },
    /// Read the withdrawal record; answer with `RecordRead`.
    ReadRecord,
    /// Update the withdrawal record; answer with `RecordStored`.
    StoreRecord {
        /// Version that the object must have; zero creates it.
        if_version: ObjectVersion,
        /// New content.
        record: WithdrawalRecord,
        /// Moment after which the update must not be sent.
        deadline: LocalTime,
    },
    /// Refuse this key from now on and end its open streams.
    KeyWithdrawn {
        /// Digest of the key.
        key: KeyDigest,
    },
    /// Look keys up in the configuration in force; answer with `KeysChecked`.
    CheckKeys {
        /// Digests of the keys.
        keys: Vec<KeyDigest>,
    },
    /// Accept keys until this moment and refuse all after it.
    AcceptKeys {
        /// The moment.
        deadline: LocalTime,
    },
    /// Tell the operator that the keys are withdrawn.
    WithdrawalAccepted {
        /// Number of the request.
        request: u64,
        /// Other VMs known to hold the withdrawal.
        copies: usize,
    },
    /// Tell the operator that the keys are not withdrawn: too many are kept.
    WithdrawalRefused {
        /// Number of the request.
        request: u64,
        /// Most keys that are kept.
        limit: usize,
    },
    /// Give this digest to the heartbeats.
    DigestChanged(ConfigurationDigest),
}
