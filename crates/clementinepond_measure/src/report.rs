//! Results of one experiment run.

use serde::Serialize;
use std::collections::BTreeMap;

/// Measures of one policy, by name.
pub type MeasureTable = BTreeMap<&'static str, f64>;

/// Comparison of a measured value with its bound.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TargetResult {
    /// Description of the measured value.
    pub name: Box<str>,
    /// Largest or smallest allowed value.
    pub bound: f64,
    /// Measured value.
    pub value: f64,
    /// Whether the value is within the bound.
    pub met: bool,
}

impl TargetResult {
    /// Compares `value` with the largest allowed value.
    #[must_use]
    pub fn at_most(name: &str, bound: f64, value: f64) -> Self {
        Self {
            name: name.into(),
            bound,
            value,
            met: value <= bound,
        }
    }

    /// Compares `value` with the smallest allowed value.
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

/// Report of one experiment run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ExperimentReport {
    /// Name of the experiment.
    pub experiment: Box<str>,
    /// Seed of the run.
    pub seed: u64,
    /// Number of violations of each invariant; all zero in a sound run.
    pub violations: BTreeMap<&'static str, u64>,
    /// Measures of each policy (`baseline`, `previous`, `current`).
    pub policies: BTreeMap<&'static str, MeasureTable>,
    /// Measured values compared with their bounds.
    pub targets: Vec<TargetResult>,
}

impl ExperimentReport {
    /// Creates an empty report.
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

    /// Returns whether no invariant was violated.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.violations.values().all(|&count| count == 0)
    }
}
