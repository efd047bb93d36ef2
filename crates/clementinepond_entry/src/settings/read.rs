//! Reading and checking of the settings file.

use super::EntrySettings;
use derive_more::{Display, Error};
use std::path::Path;

/// Reason for which settings cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{path}: cannot read the settings file: {source}; give the path of a readable file")]
    File {
        /// Path of the file.
        path: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[display("{path}: {problem}; write JSON, where // and /* */ comments are allowed")]
    Syntax {
        /// Path of the file.
        path: Box<str>,
        /// Error of the parser.
        problem: Box<str>,
    },
    /// A setting is missing, unknown or has an invalid value.
    #[display("{path}: {place}: {problem}; correct this setting")]
    Value {
        /// Path of the file.
        path: Box<str>,
        /// Setting as a dotted path within the file.
        place: Box<str>,
        /// Error of the parser.
        problem: Box<str>,
    },
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is not JSON with comments, or has an invalid,
    /// missing or unknown setting.
    pub fn read_file(path: &Path) -> Result<Self, SettingsError> {
        let name: Box<str> = path.display().to_string().into();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: name.clone(),
            source,
        })?;
        Self::parse(&name, &text)
    }

    /// Parses and checks the text of a settings file; `path` appears in errors.
    ///
    /// # Errors
    ///
    /// Fails if the text is not JSON with comments, or has an invalid, missing or unknown
    /// setting.
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
