//! Demand for models, gathered at the holder of the plan.
//!
//! Each VM counts the tokens that callers ask of each model and sends the
//! rates to the holder of its data centre's plan. The holder adds up the
//! latest report of each VM.

use crate::plan::ComputeLoad;
use clementinepond_types::{LocalTime, ModelId, TimeSpan, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Interval between two reports.
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_secs(5);
/// Time after which the report of a silent VM no longer counts.
const REPORT_TIMEOUT: TimeSpan = TimeSpan::from_secs(20);
/// Thousandths of one replica.
const MILLI_PER_REPLICA: u64 = 1_000;

/// Load of one model at one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelLoad {
    /// The model.
    pub model: ModelId,
    /// Load, in thousandths of a replica.
    pub load: ComputeLoad,
}

/// Loads of all models in demand at one VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Loads by model.
    pub loads: Vec<ModelLoad>,
}

/// A report and the moment until which it counts.
#[derive(Debug, Clone)]
struct ReceivedReport {
    loads: BTreeMap<ModelId, ComputeLoad>,
    deadline: LocalTime,
}

/// Demand counted here and reported by others.
#[derive(Debug, Clone, Default)]
pub struct DemandTable {
    capacities: BTreeMap<ModelId, u64>,
    tokens: BTreeMap<ModelId, u64>,
    window_start: LocalTime,
    reports: BTreeMap<VmId, ReceivedReport>,
    observed: BTreeMap<ModelId, ComputeLoad>,
}

impl DemandTable {
    /// Sets the tokens a second that one replica of each model generates.
    pub fn configure(&mut self, capacities: BTreeMap<ModelId, u64>) {
        self.capacities = capacities;
    }

    /// Counts the tokens that a request asks for.
    pub fn count(&mut self, model: &ModelId, tokens: u64) {
        let counted = self.tokens.entry(model.clone()).or_default();
        *counted = counted.saturating_add(tokens);
    }

    /// Takes the report of another VM.
    pub fn record_report(&mut self, from: VmId, report: DemandReport, now: LocalTime) {
        let loads = report.loads.into_iter();
        let held = ReceivedReport {
            loads: loads.map(|load| (load.model, load.load)).collect(),
            deadline: now + REPORT_TIMEOUT,
        };
        self.reports.insert(from, held);
    }

    /// Closes the window once it is long enough and returns its loads.
    pub fn close_window(&mut self, now: LocalTime) -> Option<DemandReport> {
        let span = now.since(self.window_start);
        if span < REPORT_INTERVAL {
            return None;
        }
        self.window_start = now;
        let tokens = std::mem::take(&mut self.tokens);
        let loads = tokens.into_iter().map(|(model, tokens)| {
            let capacity = self.capacities.get(&model).copied().unwrap_or(1).max(1);
            let rate = tokens.saturating_mul(1_000_000) / span.micros().max(1);
            let load = ComputeLoad::from_milli(rate.saturating_mul(MILLI_PER_REPLICA) / capacity);
            ModelLoad { model, load }
        });
        Some(DemandReport {
            loads: loads.collect(),
        })
    }

    /// Returns the summed load of each model, also of those that fell to zero.
    pub fn totals(&mut self, now: LocalTime) -> BTreeMap<ModelId, ComputeLoad> {
        self.reports.retain(|_, report| report.deadline > now);
        let mut totals: BTreeMap<ModelId, ComputeLoad> = self
            .observed
            .keys()
            .map(|model| (model.clone(), ComputeLoad::ZERO))
            .collect();
        for report in self.reports.values() {
            for (model, load) in &report.loads {
                *totals.entry(model.clone()).or_default() += *load;
            }
        }
        self.observed = totals.clone();
        totals
    }
}
