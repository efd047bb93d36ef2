//! Options of stand-ins and loads given as `path=value`.

use super::CommandError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Applies assignments like `faults.late_by=2s` to the default options.
///
/// A value that is not JSON is taken as text.
pub(crate) fn assign<T: Serialize + DeserializeOwned + Default>(
    assignments: &[String],
) -> Result<T, CommandError> {
    let mut options = serde_json::to_value(T::default())
        .map_err(|error| CommandError::failed(&format!("{error}; report this as a fault")))?;
    for assignment in assignments {
        apply(&mut options, assignment)?;
    }
    serde_json::from_value(options)
        .map_err(|error| CommandError::usage(&format!("{error}; correct the value of --set")))
}

fn apply(options: &mut Value, assignment: &str) -> Result<(), CommandError> {
    let (path, text) = assignment.split_once('=').ok_or_else(|| {
        CommandError::usage(&format!("{assignment} has no '='; write --set path=value"))
    })?;
    let value = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()));
    let pointer = format!("/{}", path.replace('.', "/"));
    let target = options
        .pointer_mut(&pointer)
        .ok_or_else(|| CommandError::usage(&format!("{path} is not an option; see --set list")))?;
    *target = value;
    Ok(())
}

/// Returns every path with its default, one a line.
pub(crate) fn list<T: Serialize + Default>() -> Result<String, CommandError> {
    let options = serde_json::to_value(T::default())
        .map_err(|error| CommandError::failed(&format!("{error}; report this as a fault")))?;
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
