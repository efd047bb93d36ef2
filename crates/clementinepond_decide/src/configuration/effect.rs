//! Effects of the configuration part, to be executed by the I/O layer.

use super::{ConfigurationDigest, ConfigurationMessage, WithdrawalRecord};
use clementinepond_types::{KeyDigest, LocalTime, ObjectVersion, VmId};
use serde::{Deserialize, Serialize};

/// Effect of the configuration part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationEffect {
    /// Send a message to another VM.
    Send {
        /// Receiving VM.
        to: VmId,
        /// Message to send.
        message: ConfigurationMessage,
    },
    /// Parse a version and put it in force; answer with `Applied` or `Refused`. Keys
    /// that it lacks must be refused from then on.
    Apply {
        /// Version to apply.
        version: ObjectVersion,
        /// Text of the version.
        text: Box<str>,
    },
    /// Read the configuration; answer with `ContentRead`.
    ReadContent,
    /// List objects of the kind `configuration`; answer with `ContentWatched`.
    ListContent,
    /// Watch the configuration; answer with `ContentWatched`.
    WatchContent {
        /// Version after which changes are requested.
        from: ObjectVersion,
    },
    /// List objects of the kind `withdrawal`; answer with `RecordWatched`.
    ListRecords,
    /// Watch the withdrawal record; answer with `RecordWatched`.
    WatchRecord {
        /// Version after which changes are requested.
        from: ObjectVersion,
    },
    /// Read the withdrawal record; answer with `RecordRead`.
    ReadRecord,
    /// Update the withdrawal record; answer with `RecordStored`.
    StoreRecord {
        /// Version that the object must have; zero to create it.
        if_version: ObjectVersion,
        /// New content.
        record: WithdrawalRecord,
        /// Time after which the update must not be sent.
        deadline: LocalTime,
    },
    /// Refuse a key from now on and end its open streams.
    KeyWithdrawn {
        /// Digest of the key.
        key: KeyDigest,
    },
    /// Look keys up in the configuration in force; answer with `KeysChecked`.
    CheckKeys {
        /// Digests of the keys to look up.
        keys: Vec<KeyDigest>,
    },
    /// Accept keys until a deadline and refuse all keys after it.
    AcceptKeys {
        /// Deadline of the acceptance; `NEVER` for no limit.
        deadline: LocalTime,
    },
    /// Report to the operator that the keys are withdrawn.
    WithdrawalAccepted {
        /// Number of the request.
        request: u64,
        /// Number of other VMs that acknowledged the keys.
        copies: usize,
    },
    /// Report to the operator that the keys are not withdrawn because the limit would be
    /// exceeded.
    WithdrawalRefused {
        /// Number of the request.
        request: u64,
        /// Largest number of withdrawn keys.
        limit: usize,
    },
    /// Send this digest with heartbeats from now on.
    DigestChanged(ConfigurationDigest),
}
