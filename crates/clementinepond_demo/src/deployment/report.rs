//! What a demo run found.

use clementinepond_standin::load::LoadReport;
use serde::Serialize;
use std::collections::BTreeMap;

/// What a demo run found.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DemoReport {
    /// Name of the deployment.
    pub deployment: Box<str>,
    /// Seed of the load.
    pub seed: u64,
    /// Breaches of each must-hold; all zero in a sound run.
    pub violations: BTreeMap<&'static str, u64>,
    /// Share of the requests that were answered whole.
    pub answered_share: f64,
    /// Share answered whole of the worst-served account.
    pub worst_account: f64,
    /// Requests refused although their account stayed inside its rate.
    pub wrongful_refusals: u64,
    /// Whole answers a second and accelerator.
    pub attainment_per_accelerator: f64,
    /// Orders that the plan gave.
    pub moves: u64,
    /// Calls of the platform a second.
    pub platform_calls: f64,
    /// What the callers saw.
    pub load: LoadReport,
}

impl DemoReport {
    /// Returns whether each answer was whole and no must-hold broke.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.violations.values().all(|&count| count == 0)
    }
}
