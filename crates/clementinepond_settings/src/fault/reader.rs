//! Deserialization that collects several faults.
//!
//! A faulty member is recorded and removed, and the rest is deserialized again,
//! so that one run finds the faults of several members. Reading stops early at
//! a fault that cannot be removed: an array element, or a member below a key
//! that contains a dot.

use super::FaultList;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Maximum number of attempts to read a value, each of which finds one fault.
const READ_ATTEMPT_LIMIT: usize = 100;

/// Deserializes a value and adds a fault for each invalid member.
///
/// Returns `None` when it adds a fault or stops early. After the first fault no
/// missing field is reported, since the removal of a faulty member may be the
/// cause.
pub(crate) fn read_object<T: DeserializeOwned>(
    mut value: Value,
    faults: &mut FaultList,
) -> Option<T> {
    let before = faults.faults.len();
    for _ in 0..READ_ATTEMPT_LIMIT {
        let error = match serde_path_to_error::deserialize::<_, T>(value.clone()) {
            Ok(read) => return (faults.faults.len() == before).then_some(read),
            Err(error) => error,
        };
        let path = error.path().to_string();
        let problem = error.inner().to_string();
        let may_be_caused_by_removal =
            problem.starts_with("missing field") && faults.faults.len() > before;
        if !may_be_caused_by_removal {
            faults.push(&path, &problem, "correct the value");
        }
        if !remove(&mut value, &path) {
            return None;
        }
    }
    None
}

/// Removes the member at a path like `caller.listen` or `exceptions[2].reason`.
///
/// Returns `false` when the path leads to no object member.
fn remove(value: &mut Value, path: &str) -> bool {
    let (parent, last) = path.rsplit_once('.').unwrap_or(("", path));
    let Some(object) = value.pointer_mut(&pointer(parent)) else {
        return false;
    };
    match object {
        Value::Object(members) => members.remove(last).is_some(),
        _ => false,
    }
}

/// Converts a path to a JSON pointer.
fn pointer(path: &str) -> String {
    if path.is_empty() {
        return String::new();
    }
    let steps = path.replace('[', ".").replace(']', "");
    format!("/{}", steps.replace('/', "~1").replace('.', "/"))
}
