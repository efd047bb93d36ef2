//! Demand for models, aggregated by the holder of the placement lease.
//!
//! Each VM counts the output tokens that callers request from each model and
//! sends the resulting load to the holder of its data centre's placement lease.
//! The holder sums the latest report of each VM.

use crate::plan::ComputeLoad;
use clementinepond_types::{LocalTime, ModelId, TimeSpan, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Shortest interval between two demand reports of a VM.
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_secs(5);
/// Time after which a report expires if the VM sends no newer one.
const REPORT_TIMEOUT: TimeSpan = TimeSpan::from_secs(20);
/// Number of load units (thousandths) in one replica.
const MILLI_PER_REPLICA: u64 = 1_000;

/// Load that one VM observed for one model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelLoad {
    /// Model that the load is for.
    pub model: ModelId,
    /// Load, in thousandths of a replica.
    pub load: ComputeLoad,
}

/// Loads of all models that were requested at one VM.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Loads, one entry per model.
    pub loads: Vec<ModelLoad>,
}

/// A report from another VM and the time at which it expires.
#[derive(Debug, Clone)]
struct ReceivedReport {
    loads: BTreeMap<ModelId, ComputeLoad>,
    deadline: LocalTime,
}

/// Demand counted at this VM and reported by others.
#[derive(Debug, Clone, Default)]
pub struct DemandTable {
    capacities: BTreeMap<ModelId, u64>,
    tokens: BTreeMap<ModelId, u64>,
    window_start: LocalTime,
    reports: BTreeMap<VmId, ReceivedReport>,
    observed: BTreeMap<ModelId, ComputeLoad>,
}

impl DemandTable {
    /// Sets the tokens per second that one replica of each model generates.
    pub fn configure(&mut self, capacities: BTreeMap<ModelId, u64>) {
        self.capacities = capacities;
    }

    /// Adds the output tokens that a request reserves.
    pub fn count(&mut self, model: &ModelId, tokens: u64) {
        let counted = self.tokens.entry(model.clone()).or_default();
        *counted = counted.saturating_add(tokens);
    }

    /// Replaces the report of a VM.
    pub fn record_report(&mut self, from: VmId, report: DemandReport, now: LocalTime) {
        let loads = report.loads.into_iter();
        let held = ReceivedReport {
            loads: loads.map(|load| (load.model, load.load)).collect(),
            deadline: now + REPORT_TIMEOUT,
        };
        self.reports.insert(from, held);
    }

    /// Ends the counting window and returns its loads if the window lasted at least
    /// [`REPORT_INTERVAL`].
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

    /// Returns the total load of each model; models without current reports stay listed with zero.
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
