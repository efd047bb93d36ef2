//! One object of the store.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Object, or a change of an object when the value is null after a deletion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Kind.
    pub kind: Box<str>,
    /// Name, unique in its kind.
    pub name: Box<str>,
    /// Version of the last change.
    pub version: u64,
    /// Content.
    pub value: Value,
}
