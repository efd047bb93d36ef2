//! Outcomes of reads and conditional updates, in the form that reducers receive.

use clementinepond_types::ObjectVersion;
use serde::{Deserialize, Serialize};

/// Object with the version that the platform assigned to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedObject<T> {
    /// Version, needed for a conditional update.
    pub version: ObjectVersion,
    /// Content of the object.
    pub value: T,
}

/// Outcome of reading one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadReply<T> {
    /// Object with its current version.
    Found(VersionedObject<T>),
    /// The platform holds no such object.
    Missing,
    /// No usable answer arrived; the object may or may not exist.
    Unavailable,
}

/// Outcome of a conditional update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply<T> {
    /// The update took effect.
    Stored {
        /// Version of the object after the update.
        version: ObjectVersion,
    },
    /// The object had another version; holds the current object, `None` if there is none.
    Conflict(Option<VersionedObject<T>>),
    /// No usable answer arrived; the update may or may not have taken effect.
    Unknown,
}
