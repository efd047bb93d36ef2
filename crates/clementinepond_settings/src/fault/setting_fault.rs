//! Faults in settings and configurations.

use derive_more::{Display, Error};
use std::fmt;

/// Fault in a settings file or a configuration.
#[derive(Debug, Display, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[display("{path}: {problem}; {remedy}")]
pub struct SettingFault {
    /// Path of the faulty value.
    pub path: Box<str>,
    /// Description of the fault.
    pub problem: Box<str>,
    /// Action that corrects the fault.
    pub remedy: Box<str>,
}

impl SettingFault {
    /// Creates a fault.
    #[must_use]
    pub fn new(path: &str, problem: &str, remedy: &str) -> Self {
        Self {
            path: path.into(),
            problem: problem.into(),
            remedy: remedy.into(),
        }
    }
}

/// Faults found in one run; not empty when returned as an error.
#[derive(Debug, Error, Clone, Default, PartialEq, Eq)]
pub struct FaultList {
    /// Faults in the order in which they were found.
    pub faults: Vec<SettingFault>,
}

impl FaultList {
    /// Adds a fault.
    pub fn push(&mut self, path: &str, problem: &str, remedy: &str) {
        self.faults.push(SettingFault::new(path, problem, remedy));
    }

    /// Adds a fault if `holds` is false.
    pub fn require(&mut self, holds: bool, path: &str, problem: &str, remedy: &str) {
        if !holds {
            self.push(path, problem, remedy);
        }
    }

    /// Returns the value if the list is empty.
    ///
    /// # Errors
    ///
    /// Returns the list if it is not empty.
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
