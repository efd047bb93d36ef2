//! What is wrong, where, and what to do.

use derive_more::{Display, Error};
use std::fmt;

/// One fault in a settings file or a configuration.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[display("{path}: {problem}; {remedy}")]
pub struct SettingFault {
    /// Path of the faulty value.
    pub path: Box<str>,
    /// What is wrong.
    pub problem: Box<str>,
    /// What to do about it.
    pub remedy: Box<str>,
}

impl SettingFault {
    /// Describes a fault.
    #[must_use]
    pub fn new(path: &str, problem: &str, remedy: &str) -> Self {
        Self {
            path: path.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

/// All faults found in one run; never empty when returned as an error.
#[derive(Debug, Error, Clone, Default, PartialEq, Eq)]
pub struct FaultList {
    /// The faults, in the order of discovery.
    pub faults: Vec<SettingFault>,
}

impl FaultList {
    /// Adds a fault.
    pub fn push(&mut self, path: &str, problem: &str, remedy: &str) {
        self.faults.push(SettingFault::new(path, problem, remedy));
    }

    /// Adds a fault unless `holds`.
    pub fn require(&mut self, holds: bool, path: &str, problem: &str, remedy: &str) {
        if !holds {
            self.push(path, problem, remedy);
        }
    }

    /// Returns the value if there is no fault.
    ///
    /// # Errors
    ///
    /// Returns the list itself when it holds a fault.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.faults.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }
}

impl fmt::Display for FaultList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.faults.iter().map(ToString::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}
