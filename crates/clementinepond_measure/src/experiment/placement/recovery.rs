//! Seeded fault schedules on a small cluster, with lease holders killed during moves.

use super::fake::{CentreSetup, EndpointSetup, FakeWorld, FaultRates, WorldChecks, WorldSetup};
use super::run_policy::count;
use super::workload::{name, version};
use crate::{ExperimentReport, TargetResult};
use clementinepond_decide::plan::{
    AdapterSpec, ComputeLoad, ModelSpec, ModelVersion, PlacementCatalogue, PlanMutation,
    PlanSettings, StoreShare,
};
use clementinepond_types::{MemorySize, ModelId, PriorityClass, TimeSpan};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;
/// Number of schedules in one run, and the distance between the seeds of two runs.
const SCHEDULES: u64 = 1_000;
/// Duration of fault injection, in seconds.
const FAULT_PHASE_S: u64 = 150;
/// Time limit for recovery after fault injection ends, in seconds.
const RECOVERY_LIMIT_S: u64 = 400;
/// Time from releasing the lease until the VM stops, in seconds.
const SHUTDOWN_DURATION_S: u64 = 10;
/// Number of endpoints in the simulated cluster.
const ENDPOINTS: usize = 4;
/// Number of models in the simulated cluster.
const MODELS: u64 = 6;

/// Result of one schedule.
#[derive(Debug, Clone, Copy)]
pub struct ScheduleResult {
    /// Invariant violations and related counts.
    pub checks: WorldChecks,
    /// Whether every model was ready and no move was in progress before the time limit.
    pub is_recovered: bool,
    /// Number of lease holders killed during moves, excluding those that shut down.
    pub kills: u32,
}

/// Runs the `placement-recovery` experiment over 1,000 seeded schedules.
#[must_use]
pub fn run_recovery(seed: u64) -> ExperimentReport {
    run_schedules(seed, SCHEDULES)
}

/// Runs `schedules` schedules, with consecutive seeds starting at 1,000 times `seed`.
#[must_use]
pub fn run_schedules(seed: u64, schedules: u64) -> ExperimentReport {
    let mut report = ExperimentReport::new("placement-recovery", seed);
    let mut recovered = 0;
    for schedule in 0..schedules {
        let result = run_schedule(seed.wrapping_mul(SCHEDULES).wrapping_add(schedule), &[]);
        add(&mut report, &result);
        recovered += u64::from(result.is_recovered);
    }
    let overcommitted = report.violations.get("overcommitted_memory").copied();
    report.targets = vec![
        TargetResult::at_least("schedules whole again", count(schedules), count(recovered)),
        TargetResult::at_most(
            "overcommitted memory",
            0.0,
            count(overcommitted.unwrap_or_default()),
        ),
    ];
    report
}

fn add(report: &mut ExperimentReport, result: &ScheduleResult) {
    let checks = result.checks;
    let found = [
        ("overcommitted_memory", checks.overcommitted),
        ("last_copies_unloaded", checks.last_copies_unloaded),
        ("orders_of_old_holders", checks.stale_orders),
        ("not_whole_again", u64::from(!result.is_recovered)),
    ];
    for (name, count) in found {
        *report.violations.entry(name).or_default() += count;
    }
    let measures = report.policies.entry("current").or_default();
    *measures.entry("moves").or_default() += count(checks.moves);
    *measures.entry("orders").or_default() += count(checks.orders);
    *measures.entry("holders_killed").or_default() += f64::from(result.kills);
}

/// Runs one schedule with the guards named in `mutations` disabled.
///
/// Reports lag by up to 3 s on even seeds. On odd seeds they lag by up to
/// 0.1 s, duplicate orders are more frequent, endpoints restart more often,
/// and VMs pause more often and for longer.
#[must_use]
pub fn run_schedule(seed: u64, mutations: &[PlanMutation]) -> ScheduleResult {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = FakeWorld::new(setup(mutations, rates(seed)), seed);
    let mut kills = 0;
    let mut shutting_down = Vec::new();
    for second in 0..FAULT_PHASE_S {
        world.run_until(second * SECOND_US);
        kills += inject_faults(&mut world, &mut rng, second, &mut shutting_down);
    }
    // Completes shutdowns in progress: a VM that released its lease does not
    // take it again, so otherwise no VM might be left to take it.
    for (_, vm) in shutting_down {
        world.kill(vm);
    }
    world.set_rates(FaultRates::default());
    let is_recovered = wait_for_recovery(&mut world);
    ScheduleResult {
        checks: world.checks,
        is_recovered,
        kills,
    }
}

/// Changes demand and model version, stops lease holders and restarts endpoints.
///
/// Returns the number of lease holders killed during moves.
fn inject_faults(
    world: &mut FakeWorld,
    rng: &mut ChaCha8Rng,
    second: u64,
    shutting_down: &mut Vec<(u64, usize)>,
) -> u32 {
    let mut kills = 0;
    if second.is_multiple_of(10) {
        for model in 0..MODELS {
            let load = if rng.random_bool(0.3) { 1_500 } else { 100 };
            world.observe_demand(0, &model_name(model), load);
        }
    }
    if second % 60 == 59 {
        let version = format!("v{}", second / 60 + 2);
        world.set_catalogue(0, catalogue(ModelVersion::from(version.as_str())));
    }
    shutting_down.retain(|&(at, vm)| {
        if at == second {
            world.kill(vm);
        }
        at > second
    });
    let Some(holder) = world.holder(0) else {
        return kills;
    };
    let is_moving = !world.is_settled(0);
    if is_moving && rng.random_bool(0.03) {
        world.kill(holder);
        kills += 1;
    } else if rng.random_bool(0.03) {
        world.release(holder);
        shutting_down.push((second + SHUTDOWN_DURATION_S, holder));
    }
    if rng.random_bool(0.01) {
        world.restart(rng.random_range(0..ENDPOINTS));
    }
    kills
}

/// Returns whether every model is ready and no move is in progress within the time limit.
fn wait_for_recovery(world: &mut FakeWorld) -> bool {
    for model in 0..MODELS {
        world.observe_demand(0, &model_name(model), 100);
    }
    let start = world.now();
    for second in 1..=RECOVERY_LIMIT_S {
        world.run_until(start + second * SECOND_US);
        let is_ready = |model| {
            let name = model_name(model);
            world.engines.iter().any(|engine| engine.serves(&name))
        };
        if world.is_settled(0) && (0..MODELS).all(is_ready) {
            return true;
        }
    }
    false
}

fn setup(mutations: &[PlanMutation], rates: FaultRates) -> WorldSetup {
    WorldSetup {
        centres: vec![CentreSetup {
            id: name("dc-0"),
            vms: 3,
            endpoints: (0..ENDPOINTS)
                .map(|index| EndpointSetup {
                    id: name(&format!("runner-{index}")),
                    memory: 1_000,
                    accelerators: 2,
                    checks_fencing: index % 2 == 0,
                    preloaded: Vec::new(),
                })
                .collect(),
            catalogue: catalogue(version()),
        }],
        settings: PlanSettings {
            candidate_read_interval: TimeSpan::from_millis(300),
            candidate_stagger: TimeSpan::from_millis(500),
            mutations: mutations.iter().copied().collect(),
            ..PlanSettings::default()
        },
        rates,
        store_at_once: 4,
        load_us: 4 * SECOND_US,
        drain_us: 2 * SECOND_US,
        report_us: SECOND_US / 4,
        tick_us: SECOND_US / 4,
    }
}

fn rates(seed: u64) -> FaultRates {
    let laggy = FaultRates {
        order_lost: 0.1,
        order_duplicated: 0.2,
        order_delayed: 0.2,
        report_lost: 0.1,
        report_lag_us: 3 * SECOND_US,
        answer_lost: 0.05,
        pause: 0.01,
        pause_us: 25 * SECOND_US,
        restart: 0.001,
    };
    if seed.is_multiple_of(2) {
        return laggy;
    }
    FaultRates {
        order_duplicated: 0.5,
        report_lag_us: SECOND_US / 10,
        pause: 0.03,
        pause_us: 40 * SECOND_US,
        restart: 0.005,
        ..laggy
    }
}

fn catalogue(version: ModelVersion) -> PlacementCatalogue {
    let spec = |model| ModelSpec {
        version: version.clone(),
        memory_mib: MemorySize::new(250 + 30 * model),
        priority: PriorityClass::new(0),
        replica_limit: ComputeLoad::accelerators(1),
        resident: true,
    };
    PlacementCatalogue {
        models: (0..MODELS)
            .map(|model| (model_name(model), spec(model)))
            .collect(),
        adapters: (0..2)
            .map(|index| {
                let adapter = AdapterSpec {
                    model: model_name(index),
                    memory_mib: MemorySize::new(30),
                };
                (name(&format!("adapter-{index}")), adapter)
            })
            .collect(),
        exceptions: Vec::new(),
        share: StoreShare {
            loads_an_hour: 3_600,
            loads_at_once: 4,
            adapters_at_once: 30,
        },
        data_centres: BTreeSet::from([name("dc-0")]),
    }
}

fn model_name(model: u64) -> ModelId {
    name(&format!("model-{model}"))
}
