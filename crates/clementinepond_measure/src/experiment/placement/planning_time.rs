//! Processor time of one plan, by the wall clock of this machine.
//!
//! Besides full fleets it measures one that has lost every other endpoint, in
//! which many models lack a copy and hardly any room is left.
//!
//! Unlike every other experiment this one is not repeatable byte for byte.

use super::workload::{TARGET, Workload, version};
use crate::{ExperimentReport, TargetResult};
use clementinepond_decide::plan::planner::{
    self, CopyState, EndpointView, HoldingView, ModelNeed, MoveBudget, PlanProblem, PlannerTuning,
};
use clementinepond_types::{MemorySize, PriorityClass};
use std::collections::BTreeMap;
use std::time::Instant;

/// Longest allowed time of one plan, in milliseconds.
const PLAN_LIMIT_MS: f64 = 50.0;
/// Plans measured of each size; the slowest counts.
const ROUNDS: u32 = 12;
/// Models of each size and the names of its measures.
const SIZES: [(usize, &str); 4] = [
    (75, "plan_ms_75_models"),
    (150, "plan_ms_150_models"),
    (300, "plan_ms_300_models"),
    (600, "plan_ms_600_models"),
];
/// Models of the target size.
const TARGET_MODELS: usize = 300;
/// Endpoints for each model.
const ENDPOINTS_A_MODEL: usize = 2;

/// Measures one plan at 75, 150, 300 and 600 models.
#[must_use]
pub fn run_time(seed: u64) -> ExperimentReport {
    let mut report = ExperimentReport::new("placement-time", seed);
    report.violations.insert("overcommitted_memory", 0);
    let measures = report.policies.entry("current").or_default();
    for (models, name) in SIZES {
        measures.insert(name, slowest_plan_ms(models, seed, 1));
    }
    let half_lost = slowest_plan_ms(TARGET_MODELS, seed, 2);
    measures.insert("plan_ms_300_models_half_lost", half_lost);
    let at_target = measures.get("plan_ms_300_models").copied().unwrap_or(0.0);
    let slowest = at_target.max(half_lost);
    report.targets.push(TargetResult::at_most(
        "plan for 300 models on 600 endpoints, ms",
        PLAN_LIMIT_MS,
        slowest,
    ));
    report
}

/// Returns the time of the slowest plan, with one endpoint of each `kept_of`
/// left; the placement is made for all.
fn slowest_plan_ms(models: usize, seed: u64, kept_of: usize) -> f64 {
    let mut size = TARGET;
    size.models = models;
    size.centres = 1;
    size.endpoints = models * ENDPOINTS_A_MODEL;
    let workload = Workload::new(size, seed);
    // The first plan warms the processor's caches.
    drop(planner::plan(&problem(&workload, 0.0, kept_of)));
    (0..ROUNDS)
        .map(|round| {
            let problem = problem(&workload, f64::from(round) * 300.0, kept_of);
            let start = Instant::now();
            let outcome = planner::plan(&problem);
            let elapsed = start.elapsed().as_secs_f64() * 1_000.0;
            drop(outcome);
            elapsed
        })
        .fold(0.0, f64::max)
}

/// Builds a full fleet, placed for the mean load, at a moment of the swing.
fn problem(workload: &Workload, second: f64, kept_of: usize) -> PlanProblem {
    let placement = workload.static_placement();
    let endpoints = workload
        .setup(clementinepond_decide::plan::PlanSettings::default())
        .centres
        .into_iter()
        .flat_map(|centre| centre.endpoints)
        .zip(placement)
        .step_by(kept_of)
        .map(|(endpoint, placed)| {
            let used: u64 = placed.iter().map(|(_, memory)| memory).sum();
            let holdings = placed
                .into_iter()
                .map(|((model, version), memory)| HoldingView {
                    model,
                    version,
                    state: CopyState::Ready,
                    memory: MemorySize::new(memory),
                })
                .collect();
            let view = EndpointView {
                memory: MemorySize::new(endpoint.memory),
                possible: MemorySize::new(used),
                accelerators: endpoint.accelerators,
                accepting: true,
                holdings,
                adapters: BTreeMap::new(),
            };
            (endpoint.id, view)
        })
        .collect();
    let models = workload
        .models
        .iter()
        .map(|model| {
            let need = ModelNeed {
                version: version(),
                memory: MemorySize::new(model.memory),
                priority: PriorityClass::new(0),
                replica_limit: f64::from(u32::try_from(workload.size.replica_limit).unwrap_or(0)),
                min_copies: 1,
                rendezvous_rank: 0,
                load: model.at(second),
                recent_peak: model.at(second),
            };
            (model.id.clone(), need)
        })
        .collect();
    PlanProblem {
        endpoints,
        models,
        adapters: BTreeMap::new(),
        exceptions: Vec::new(),
        budget: MoveBudget {
            loads: 16,
            adapters: 0,
        },
        tuning: PlannerTuning::default(),
        arriving_counts_as_ready: false,
        last_copy_unprotected: false,
    }
}
