//! Reading and checking of the settings file.

use super::VmSettings;
use crate::FaultList;
use crate::fault::read_object;
use derive_more::{Display, Error};
use serde_json::Value;
use std::path::Path;

/// Error for settings that cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{path}: {source}; check that the file exists and is readable")]
    File {
        /// Path of the file.
        path: Box<str>,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The text is not valid JSON with comments.
    #[display("{path}: {problem}; write valid JSON; // and /* */ comments are allowed")]
    Syntax {
        /// Path of the file.
        path: Box<str>,
        /// Message of the parser with line and column.
        problem: Box<str>,
    },
    /// Values are invalid.
    #[display("{path}:\n{faults}")]
    Values {
        /// Path of the file.
        path: Box<str>,
        /// Faults found.
        faults: FaultList,
    },
}

impl VmSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, is not valid JSON with comments, or
    /// contains invalid values. Checks across values run only when every value
    /// could be deserialized.
    pub fn read_file(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::File {
            path: name.as_str().into(),
            source,
        })?;
        Self::read_text(&name, &text)
    }

    /// Reads and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the text is not valid JSON with comments or contains invalid
    /// values, as in [`VmSettings::read_file`]. `name` stands for the path.
    pub fn read_text(name: &str, text: &str) -> Result<Self, SettingsError> {
        let value: Value = serde_json5::from_str(text).map_err(|error| SettingsError::Syntax {
            path: name.into(),
            problem: error.to_string().into(),
        })?;
        let mut faults = FaultList::default();
        let settings = read_object::<Self>(value, &mut faults);
        if let Some(settings) = &settings {
            settings.check(&mut faults);
        }
        match settings {
            Some(settings) if faults.faults.is_empty() => Ok(settings),
            _ => Err(SettingsError::Values {
                path: name.into(),
                faults,
            }),
        }
    }
}
