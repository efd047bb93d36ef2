//! Options of `stand-in` and `load` given as `path=value`.

use super::CommandError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Returns the default options with assignments like `faults.late_by=2s` applied.
///
/// A value that is not valid JSON is taken as a string.
pub(crate) fn assign<T: Serialize + DeserializeOwned + Default>(
    assignments: &[String],
) -> Result<T, CommandError> {
    let mut options = serde_json::to_value(T::default())
        .map_err(|error| CommandError::failed(&format!("{error}; report this as a bug")))?;
    for assignment in assignments {
        apply(&mut options, assignment)?;
    }
    serde_json::from_value(options)
        .map_err(|error| CommandError::usage(&format!("{error}; correct the value of --set")))
}

fn apply(options: &mut Value, assignment: &str) -> Result<(), CommandError> {
    let (path, text) = assignment.split_once('=').ok_or_else(|| {
        CommandError::usage(&format!(
            "{assignment} has no '='; write it as --set path=value"
        ))
    })?;
    let value = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()));
    let pointer = format!("/{}", path.replace('.', "/"));
    let target = options.pointer_mut(&pointer).ok_or_else(|| {
        CommandError::usage(&format!(
            "{path} is not an option; --set list prints all options"
        ))
    })?;
    *target = value;
    Ok(())
}

/// Returns all option paths with their defaults, one per line.
pub(crate) fn list<T: Serialize + Default>() -> Result<String, CommandError> {
    let options = serde_json::to_value(T::default())
        .map_err(|error| CommandError::failed(&format!("{error}; report this as a bug")))?;
    let mut lines = String::new();
    flatten("", &options, &mut lines);
    Ok(lines)
}

fn flatten(path: &str, value: &Value, lines: &mut String) {
    match value {
        Value::Object(members) if !members.is_empty() => {
            for (name, member) in members {
                let path = [path, name].join(if path.is_empty() { "" } else { "." });
                flatten(&path, member, lines);
            }
        }
        other => {
            lines.push_str(&format!("{path}={other}\n"));
        }
    }
}
