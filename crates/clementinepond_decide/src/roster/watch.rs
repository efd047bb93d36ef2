//! Answers of the platform's watches.

use crate::port::VersionedObject;
use clementinepond_types::ObjectVersion;
use serde::{Deserialize, Serialize};

/// One change that a watch reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchChange<T> {
    /// Name of the object.
    pub name: Box<str>,
    /// The object, or nothing when it was deleted.
    pub object: Option<VersionedObject<T>>,
}

/// Outcome of a watch, or of the list that follows a watch that was too old.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WatchAnswer<T> {
    /// Changes after the asked version; none when the wait ended without one.
    Changes {
        /// Version to watch from next.
        version: ObjectVersion,
        /// Changes in the order of their versions.
        changes: Vec<WatchChange<T>>,
    },
    /// The asked version is too old; the kind must be listed.
    TooOld,
    /// No answer came.
    Unavailable,
}
