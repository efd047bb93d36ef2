//! Reading of the settings file.

use super::VmSettings;
use crate::FaultList;
use crate::fault::read_object;
use derive_more::{Display, Error};
use serde_json::Value;
use std::path::Path;

/// Reason for which settings could not be used.
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
        /// Message of the parser, with line and column.
        problem: Box<str>,
    },
    /// Values do not fit.
    #[display("{path}:\n{faults}")]
    Values {
        /// Path of the file.
        path: Box<str>,
        /// Every fault found.
        faults: FaultList,
    },
}

impl VmSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, is not JSON with comments, or holds
    /// values that do not fit; all such values are listed.
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
    /// As [`VmSettings::read_file`].
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
