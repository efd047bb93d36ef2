//! Object of the store.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Object or change of an object; a deletion has the value null.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredObject {
    /// Kind of the object.
    pub kind: Box<str>,
    /// Name of the object, unique within its kind.
    pub name: Box<str>,
    /// Version of the store at the last change of the object.
    pub version: u64,
    /// Content of the object.
    pub value: Value,
}
