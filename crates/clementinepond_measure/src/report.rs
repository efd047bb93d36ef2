//! The report of one experiment.

use serde::Serialize;
use std::collections::BTreeMap;

/// Measures of one policy, by name.
pub type MeasureTable = BTreeMap<&'static str, f64>;

/// One stated bound and what was found.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TargetResult {
    /// What is bounded.
    pub name: Box<str>,
    /// The stated bound.
    pub bound: f64,
    /// The value found.
    pub value: f64,
    /// Whether the value is within the bound.
    pub met: bool,
}

impl TargetResult {
    /// Compares a value with its largest allowed value.
    #[must_use]
    pub fn at_most(name: &str, bound: f64, value: f64) -> Self {
        Self {
            name: name.into(),
            bound,
            value,
            met: value <= bound,
        }
    }

    /// Compares a value with its smallest allowed value.
    #[must_use]
    pub fn at_least(name: &str, bound: f64, value: f64) -> Self {
        Self {
            name: name.into(),
            bound,
            value,
            met: value >= bound,
        }
    }
}

/// Outcome of one run of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub experiment: Box<str>,
    /// Seed of the run.
    pub seed: u64,
    /// Breaches of each must-hold; all zero in a sound run.
    pub violations: BTreeMap<&'static str, u64>,
    /// Measures of each policy: `baseline`, `previous`, `current`.
    pub policies: BTreeMap<&'static str, MeasureTable>,
    /// Stated bounds and what was found.
    pub targets: Vec<TargetResult>,
}

impl ExperimentReport {
    /// Starts an empty report.
    #[must_use]
    pub fn new(experiment: &str, seed: u64) -> Self {
        Self {
            experiment: experiment.into(),
            seed,
            violations: BTreeMap::new(),
            policies: BTreeMap::new(),
            targets: Vec::new(),
        }
    }

    /// Returns whether no must-hold was broken.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.violations.values().all(|&count| count == 0)
    }
}
