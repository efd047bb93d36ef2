//! Wall-clock time of one plan.
//!
//! Measures complete fleets, and one that has lost every second endpoint, so
//! that many models lack a copy and little memory is free.
//!
//! The results depend on the machine and are not repeatable byte for byte.

use super::workload::{TARGET, Workload, version};
use crate::{ExperimentReport, TargetResult};
use clementinepond_decide::plan::planner::{
    self, CopyState, EndpointView, HoldingView, ModelNeed, MoveBudget, PlanProblem, PlannerTuning,
};
use clementinepond_types::{MemorySize, PriorityClass};
use std::collections::BTreeMap;
use std::time::Instant;

/// Maximum time of one plan, in milliseconds.
const PLAN_LIMIT_MS: f64 = 50.0;
/// Number of plans measured per size; the slowest is reported.
const MEASURED_PLANS: u32 = 12;
/// Number of models of each size, and the name of its measure.
const SIZES: [(usize, &str); 4] = [
    (75, "plan_ms_75_models"),
    (150, "plan_ms_150_models"),
    (300, "plan_ms_300_models"),
    (600, "plan_ms_600_models"),
];
/// Number of models of the target deployment.
const TARGET_MODELS: usize = 300;
/// Number of endpoints per model before any are lost.
const ENDPOINTS_PER_MODEL: usize = 2;

/// Runs the `placement-time` experiment at 75, 150, 300 and 600 models,
/// and at 300 models with half of the endpoints lost.
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

/// Returns the time of the slowest plan in milliseconds, with one of every
/// `endpoint_stride` endpoints left; the placement is computed for all of them.
fn slowest_plan_ms(models: usize, seed: u64, endpoint_stride: usize) -> f64 {
    let mut size = TARGET;
    size.models = models;
    size.centres = 1;
    size.endpoints = models * ENDPOINTS_PER_MODEL;
    let workload = Workload::new(size, seed);
    // An unmeasured plan warms the processor's caches.
    drop(planner::plan(&problem(&workload, 0.0, endpoint_stride)));
    (0..MEASURED_PLANS)
        .map(|round| {
            let problem = problem(&workload, f64::from(round) * 300.0, endpoint_stride);
            let start = Instant::now();
            let outcome = planner::plan(&problem);
            let elapsed = start.elapsed().as_secs_f64() * 1_000.0;
            drop(outcome);
            elapsed
        })
        .fold(0.0, f64::max)
}

/// Builds the planning problem at `second` of the demand curve.
///
/// The models are placed for the mean load on all endpoints; one of every
/// `endpoint_stride` endpoints is kept.
fn problem(workload: &Workload, second: f64, endpoint_stride: usize) -> PlanProblem {
    let placement = workload.static_placement();
    let endpoints = workload
        .setup(clementinepond_decide::plan::PlanSettings::default())
        .centres
        .into_iter()
        .flat_map(|centre| centre.endpoints)
        .zip(placement)
        .step_by(endpoint_stride)
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
