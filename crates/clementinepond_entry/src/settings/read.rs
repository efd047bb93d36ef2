//! Reading of the settings file.

use super::EntrySettings;
use derive_more::{Display, Error};
use std::path::Path;

/// Reason for which settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{path}: {source}; give the path of a readable file")]
    File {
        /// Path that was tried.
        path: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[display("{path}: {problem}; write JSON, where // and /* */ comments are allowed")]
    Syntax {
        /// Path of the file.
        path: Box<str>,
        /// What is wrong.
        problem: Box<str>,
    },
    /// A value does not fit.
    #[display("{path}: {place}: {problem}; correct the value")]
    Value {
        /// Path of the file.
        path: Box<str>,
        /// Place within the file.
        place: Box<str>,
        /// What is wrong.
        problem: Box<str>,
    },
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, is not JSON or holds a wrong value.
    pub fn read_file(path: &Path) -> Result<Self, SettingsError> {
        let name: Box<str> = path.display().to_string().into();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: name.clone(),
            source,
        })?;
        Self::parse(&name, &text)
    }

    /// Reads and checks settings; `path` appears in errors.
    ///
    /// # Errors
    ///
    /// Fails when the text is not JSON or holds a wrong value.
    pub fn parse(path: &str, text: &str) -> Result<Self, SettingsError> {
        let value: serde_json::Value =
            serde_json5::from_str(text).map_err(|error| SettingsError::Syntax {
                path: path.into(),
                problem: error.to_string().into(),
            })?;
        serde_path_to_error::deserialize(value).map_err(|error| SettingsError::Value {
            path: path.into(),
            place: error.path().to_string().into(),
            problem: error.inner().to_string().into(),
        })
    }
}
