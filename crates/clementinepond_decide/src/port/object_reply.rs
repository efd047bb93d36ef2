//! Answers of the object API, seen from a reducer.

use clementinepond_types::ObjectVersion;
use serde::{Deserialize, Serialize};

/// Object together with the version that the platform gave to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedObject<T> {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Content of the object.
    pub value: T,
}

/// Outcome of reading one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadReply<T> {
    /// The object as the platform holds it.
    Found(VersionedObject<T>),
    /// The platform holds no such object.
    Missing,
    /// No answer came; nothing is known.
    Unavailable,
}

/// Outcome of a conditional update.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply<T> {
    /// The update took effect.
    Stored {
        /// Version that the update received.
        version: ObjectVersion,
    },
    /// The update was refused, because the object had another version.
    Conflict(Option<VersionedObject<T>>),
    /// No answer came; the update may or may not have taken effect.
    Unknown,
}
