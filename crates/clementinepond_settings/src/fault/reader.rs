//! Reading of an object with every fault reported.
//!
//! A faulty value is recorded and taken out, and the rest is read again, so
//! that one run finds the faults of all values.

use super::FaultList;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Faults after which reading stops.
const READ_ATTEMPT_LIMIT: usize = 100;

/// Reads a value, collecting a fault for each member that does not fit.
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

/// Removes the value at a path like `caller.listen` or `exceptions[2].reason`.
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

fn pointer(path: &str) -> String {
    if path.is_empty() {
        return String::new();
    }
    let steps = path.replace('[', ".").replace(']', "");
    format!("/{}", steps.replace('/', "~1").replace('.', "/"))
}
