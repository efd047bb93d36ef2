//! Answers to watches of platform objects.

use crate::port::VersionedObject;
use clementinepond_types::ObjectVersion;
use serde::{Deserialize, Serialize};

/// Change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchChange<T> {
    /// Name of the object.
    pub name: Box<str>,
    /// New state of the object; `None` when it was deleted.
    pub object: Option<VersionedObject<T>>,
}

/// Outcome of a watch, or of the list that follows a watch from a version that
/// was too old.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchAnswer<T> {
    /// Changes after the requested version, or all objects of a list; empty when a
    /// watch ended without a change.
    Changes {
        /// Version from which to watch next.
        version: ObjectVersion,
        /// Changes in the order of their versions.
        changes: Vec<WatchChange<T>>,
    },
    /// The requested version is too old; the objects must be listed.
    TooOld,
    /// No answer came.
    Unavailable,
}
